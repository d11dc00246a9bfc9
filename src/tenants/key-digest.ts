/**
 * Digests stand for API keys wherever a key is kept, compared or shown: a heap dump, a log line
 * or an operator's screen gives no key away.
 */
import { hash } from 'node:crypto';

/** Enough to tell the keys of one document apart by eye. Hexadecimal digits. */
const SHORT_DIGEST_LENGTH = 12;

/** By which keys are compared. */
export function digestOf(key: string): string {
  return hash('sha256', key, 'base64');
}

/** For operators. */
export function shortDigestOf(key: string): string {
  return hash('sha256', key, 'hex').slice(0, SHORT_DIGEST_LENGTH);
}
