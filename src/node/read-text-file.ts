/** Files outside a data folder, such as settings files named on the command line. */
import { readFile } from 'node:fs/promises';

/** The text of a file. Rejects with the system's error when it cannot be read. */
export async function readTextFile(path: string): Promise<string> {
  return readFile(path, 'utf8');
}
