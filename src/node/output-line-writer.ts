/** A {@link LineWriter} on a standard stream of the process. */
import { constants, fstatSync, openSync, write } from 'node:fs';
import { LineWriter } from './line-writer.js';

/** A standard stream with its number. */
export type OutputStream = NodeJS.WriteStream & { readonly fd: number };

function describeDropped(count: number): string {
  return JSON.stringify({ context: { logLevel: 40, dropped: count }, message: 'lines dropped' });
}

/**
 * A number of its own for a pipe. Processes that share one also share whether writes to it wait, and Node
 * makes them wait when it exits: a write of another process would then hold up its exit until the reader
 * reads. Streams that can't be opened again keep their number.
 */
function openUnshared(fd: number): number {
  try {
    if (!fstatSync(fd).isFIFO()) return fd;
    return openSync(`/proc/self/fd/${fd}`, constants.O_WRONLY | constants.O_NONBLOCK);
  } catch {
    return fd;
  }
}

/** Writes beside the stream itself, whose own writes wait for the reader of a pipe. */
export function createOutputLineWriter(output: OutputStream): LineWriter {
  const fd = openUnshared(output.fd);
  return new LineWriter(
    (bytes, callback) => write(fd, bytes, (error, written) => callback(error, written)),
    describeDropped,
  );
}
