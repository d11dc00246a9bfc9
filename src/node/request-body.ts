/** Receives the body of a request within bounds. */
import type { IncomingMessage } from 'node:http';
import { BodyCollector } from './body-collector.js';
import type { ReceiveLease, ReceiveMemory } from './receive-memory.js';

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

/** A body, and the memory that it holds. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  readonly lease: ReceiveLease;
}

/**
 * The whole body, its bytes taken from `memory`; the caller of this function closes the lease.
 *
 * @throws BodyRefusedError when it is too large or there is no room for it.
 * @throws Error when the connection ends first.
 */
export function readBody(
  message: IncomingMessage,
  maximumBytes: number,
  memory: ReceiveMemory,
): Promise<ReceivedBody> {
  return new Promise((resolve, reject) => {
    if (message.destroyed) {
      reject(new Error('the connection was closed'));
      return;
    }
    if (announcesTooMuch(message, maximumBytes)) {
      reject(new BodyRefusedError('too_large'));
      return;
    }
    const giveUp = (): void => fail(new BodyRefusedError('no_room'));
    const lease = memory.open(message.socket.remoteAddress ?? '', giveUp);
    const body = new BodyCollector(lease, memory.blocks);
    body.announcedBytes = Number(message.headers['content-length'] ?? 0);
    let isWhole = false;
    const fail = (error: Error): void => {
      if (isWhole) return;
      message.off('data', onData);
      message.off('end', onEnd);
      body.release();
      lease.close();
      reject(error);
    };
    const onData = (chunk: Buffer): void => {
      if (body.size + chunk.length > maximumBytes) fail(new BodyRefusedError('too_large'));
      else if (!body.add(chunk)) giveUp();
    };
    const onEnd = (): void => {
      isWhole = true;
      lease.settle();
      resolve({ bytes: body.finish(), lease });
    };
    message.on('data', onData);
    message.once('end', onEnd);
    message.once('error', fail);
    message.once('close', () => {
      if (!message.complete) fail(new Error('the connection was closed'));
    });
  });
}
