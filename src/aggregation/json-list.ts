/** Lists inside messages, as JSON: Avro arrays are not used, see `message-codec.ts`. */
import { MalformedMessageError } from '../protocol/malformed-message-error.js';

function readArray(text: string, peer: string, name: string): unknown[] {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new MalformedMessageError('read list', peer, `${name} is no JSON`, error);
  }
  if (!Array.isArray(value)) {
    throw new MalformedMessageError('read list', peer, `${name} is no list`);
  }
  return value;
}

/** @throws MalformedMessageError when `text` is not a list of strings. */
export function readStrings(text: string, peer: string, name: string): string[] {
  const list = readArray(text, peer, name);
  if (list.every((item) => typeof item === 'string')) return list;
  throw new MalformedMessageError('read list', peer, `${name} holds something else than text`);
}

/**
 * Different whole numbers from 0 to below `limit`.
 *
 * @throws MalformedMessageError when `text` holds anything else.
 */
export function readPositions(text: string, limit: number, peer: string, name: string): number[] {
  const list = readArray(text, peer, name);
  const isPosition = (item: unknown): item is number =>
    Number.isInteger(item) && Number(item) >= 0 && Number(item) < limit;
  if (list.every(isPosition) && new Set(list).size === list.length) return list;
  throw new MalformedMessageError('read list', peer, `${name} holds a wrong position`);
}
