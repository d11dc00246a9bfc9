/** The log text that a command works on: files, or standard input when none is named. */
import type { Readable } from 'node:stream';
import { text as readStream } from 'node:stream/consumers';
import { readTextFile } from '../node/read-text-file.js';

export async function readLogInput(files: readonly string[], stdin: Readable): Promise<string> {
  if (files.length === 0) return readStream(stdin);
  const texts = await Promise.all(files.map((file) => readTextFile(file)));
  return texts.join('\n');
}
