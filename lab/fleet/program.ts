/** Where the programs of this package are, built. */
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { pathToFileURL } from 'node:url';

export type Program = 'driftway' | 'driftway-lab';

const require = createRequire(import.meta.url);
const COMMANDS_FOLDER = dirname(require.resolve('driftway-commands/package.json'));
const WATCH_MODULE = join(COMMANDS_FOLDER, '..', 'dist', 'lab', 'fleet', 'end-with-parent.js');

/** Arguments for Node that run a program which ends when its parent does. */
export function programArguments(program: Program, commandLine: readonly string[]): string[] {
  const preload = ['--import', pathToFileURL(WATCH_MODULE).href];
  return [...preload, join(COMMANDS_FOLDER, `${program}.js`), ...commandLine];
}

/** The path of a fleet file that comes with this package. */
export function checkedInFleet(name: string): string {
  return join(COMMANDS_FOLDER, '..', 'lab', 'fleets', `${name}.yaml`);
}
