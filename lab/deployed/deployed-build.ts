/** Builds the daemons as `deploy/system.toml` does, beside the project's own build. */
import { execFile } from 'node:child_process';
import { createHash } from 'node:crypto';
import {
  cp,
  mkdir,
  mkdtemp,
  readFile,
  readdir,
  rename,
  rm,
  stat,
  symlink,
  utimes,
  writeFile,
} from 'node:fs/promises';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { readDeploymentFile, type DeploymentFile } from './deployment-file.js';

const run = promisify(execFile);

/** What the build reads, besides the installed packages. */
const SOURCES = ['src', 'platform', 'scripts', 'deploy', 'package.json', 'tsconfig.json'];
const PACKAGES = 'node_modules';
const LOCK_FILE = 'package-lock.json';
/** Builds of the project's sources, one folder each. */
const BUILDS_FOLDER = join('target', 'deployed');
const HASH_CHARACTERS = 16;

/** A build that daemons can be started from. */
export interface DeployedBuild {
  /** Working directory of the daemons. */
  readonly folder: string;
  readonly file: DeploymentFile;
}

async function listFiles(path: string): Promise<string[]> {
  if ((await stat(path)).isFile()) return [path];
  const entries = await readdir(path, { recursive: true, withFileTypes: true });
  return entries
    .filter((entry) => entry.isFile())
    .map(({ parentPath, name }) => join(parentPath, name));
}

async function hashSources(projectFolder: string): Promise<string> {
  const hash = createHash('sha256').update(process.version);
  const paths = await Promise.all(SOURCES.map((source) => listFiles(join(projectFolder, source))));
  for (const path of paths.flat().sort()) hash.update(path).update(await readFile(path));
  return hash.digest('hex').slice(0, HASH_CHARACTERS);
}

/** Packages that are newer than their lock file are not installed again. */
async function provideInstalledPackages(projectFolder: string, folder: string): Promise<void> {
  await symlink(join(projectFolder, PACKAGES), join(folder, PACKAGES));
  await writeFile(join(folder, LOCK_FILE), '');
  await utimes(join(folder, LOCK_FILE), 0, 0);
}

async function buildIn(
  folder: string,
  projectFolder: string,
  { build }: DeploymentFile,
): Promise<void> {
  for (const source of SOURCES) {
    await cp(join(projectFolder, source), join(folder, source), { recursive: true });
  }
  await provideInstalledPackages(projectFolder, folder);
  await run('sh', ['-c', build], { cwd: folder });
}

async function exists(path: string): Promise<boolean> {
  return stat(path).then(
    () => true,
    () => false,
  );
}

/** Builds the project's sources, unless a build of the same sources is there. */
export async function buildDeployed(projectFolder: string): Promise<DeployedBuild> {
  const builds = join(projectFolder, BUILDS_FOLDER);
  const file = await readDeploymentFile(projectFolder);
  const folder = join(builds, await hashSources(projectFolder));
  if (await exists(folder)) return { folder, file };
  await mkdir(builds, { recursive: true });
  const work = await mkdtemp(join(builds, 'building-'));
  try {
    await buildIn(work, projectFolder, file);
    await rename(work, folder);
  } catch (error) {
    await rm(work, { recursive: true, force: true });
    // Another process may have built the same sources meanwhile.
    if (!(await exists(folder))) throw error;
  }
  return { folder, file };
}
