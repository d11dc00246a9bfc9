/**
 * Decodes lists in messages, which are JSON texts: Avro arrays are not used, see
 * `message-codec.ts`.
 */
import { MalformedMessageError } from '../protocol/malformed-message-error.js';

function readArray(text: string, peer: string, name: string): unknown[] {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new MalformedMessageError('read list', peer, `${name} is not JSON`, error);
  }
  if (!Array.isArray(value)) {
    throw new MalformedMessageError('read list', peer, `${name}: expected a JSON array`);
  }
  return value;
}

/**
 * Decodes an array of strings.
 *
 * @throws MalformedMessageError when `text` is not a JSON array of strings.
 */
export function readStrings(text: string, peer: string, name: string): string[] {
  const list = readArray(text, peer, name);
  if (list.every((item) => typeof item === 'string')) return list;
  throw new MalformedMessageError('read list', peer, `${name}: expected strings only`);
}

/**
 * Decodes an array of distinct integers from 0 up to, but not including, `limit`.
 *
 * @throws MalformedMessageError when `text` holds anything else.
 */
export function readPositions(text: string, limit: number, peer: string, name: string): number[] {
  const list = readArray(text, peer, name);
  const isPosition = (item: unknown): item is number =>
    Number.isInteger(item) && Number(item) >= 0 && Number(item) < limit;
  if (list.every(isPosition) && new Set(list).size === list.length) return list;
  throw new MalformedMessageError(
    'read list',
    peer,
    `${name}: expected distinct positions within the list`,
  );
}
