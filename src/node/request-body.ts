/** Receives the body of a request within bounds. */
import type { IncomingMessage } from 'node:http';
import type { ByteBudget } from './byte-budget.js';

/** Why a body was not received to its end. */
export type BodyRefusal =
  /** It is longer than the listener allows. */
  | 'too_large'
  /** The bodies of all callers together take all the memory there is for them. */
  | 'no_room';

/** The body is not wanted; the connection still works and an answer can be written. */
export class BodyRefusedError extends Error {
  constructor(readonly refusal: BodyRefusal) {
    super(refusal);
  }
}

/** Whether the request's header announces more than `maximumBytes`. */
export function announcesTooMuch(message: IncomingMessage, maximumBytes: number): boolean {
  return Number(message.headers['content-length'] ?? 0) > maximumBytes;
}

/**
 * The whole body, its bytes taken from `budget`; the caller of this function
 * releases them.
 *
 * @throws BodyRefusedError when it is too large or there is no room for it.
 * @throws Error when the connection ends first.
 */
export function readBody(
  message: IncomingMessage,
  maximumBytes: number,
  budget: ByteBudget,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const fail = (error: Error): void => {
      message.off('data', onData);
      message.off('end', onEnd);
      budget.release(size);
      size = 0;
      reject(error);
    };
    const onData = (chunk: Buffer): void => {
      if (size + chunk.length > maximumBytes) return fail(new BodyRefusedError('too_large'));
      if (!budget.take(chunk.length)) return fail(new BodyRefusedError('no_room'));
      size += chunk.length;
      chunks.push(chunk);
    };
    const onEnd = (): void => {
      size = 0;
      const [only] = chunks;
      resolve(chunks.length === 1 && only !== undefined ? only : Buffer.concat(chunks));
    };
    if (message.destroyed) {
      reject(new Error('the connection was closed'));
      return;
    }
    if (announcesTooMuch(message, maximumBytes)) {
      reject(new BodyRefusedError('too_large'));
      return;
    }
    message.on('data', onData);
    message.once('end', onEnd);
    message.once('error', fail);
    message.once('close', () => {
      if (!message.complete) fail(new Error('the connection was closed'));
    });
  });
}
