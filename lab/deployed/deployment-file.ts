/** The parts of `deploy/system.toml` that say how daemons are built and run. */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Command lines, for a shell in the project's folder. */
export interface DeploymentFile {
  readonly build: string;
  /** By the name of the role. */
  readonly run: ReadonlyMap<string, string>;
}

const PATH = join('deploy', 'system.toml');
const BUILD = /^build = "(.+)"$/m;
const ROLE = /^\[roles\.(\w+)\]\nrun = "(.+)"$/gm;

/** @throws Error when the file has no `build` line. */
export async function readDeploymentFile(projectFolder: string): Promise<DeploymentFile> {
  const text = await readFile(join(projectFolder, PATH), 'utf8');
  const build = BUILD.exec(text)?.[1];
  if (build === undefined) throw new Error(`expected a build line in ${PATH}, found none`);
  const run = [...text.matchAll(ROLE)].map(([, role = '', line = '']) => [role, line] as const);
  return { build, run: new Map(run) };
}
