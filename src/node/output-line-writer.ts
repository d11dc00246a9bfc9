/** A {@link LineWriter} on a standard stream of the process. */
import { write } from 'node:fs';
import { LineWriter } from './line-writer.js';

/** A standard stream with its number. */
export type OutputStream = NodeJS.WriteStream & { readonly fd: number };

function describeDropped(count: number): string {
  return JSON.stringify({ context: { logLevel: 40, dropped: count }, message: 'lines dropped' });
}

/** Writes beside the stream itself, whose own writes wait for the reader of a pipe. */
export function createOutputLineWriter(output: OutputStream): LineWriter {
  return new LineWriter(
    (bytes, callback) => write(output.fd, bytes, (error, written) => callback(error, written)),
    describeDropped,
  );
}
