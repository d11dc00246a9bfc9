/**
 * Digests replace API keys wherever a key is stored, compared or displayed, so that a heap dump,
 * a log line or an operator's screen reveals no key.
 */
import { hash } from 'node:crypto';

/** Hexadecimal digits; enough to tell the keys of one route document apart by eye. */
const SHORT_DIGEST_LENGTH = 12;

/** The full digest, by which keys are stored and compared. */
export function digestOf(key: string): string {
  return hash('sha256', key, 'base64');
}

/** The abbreviated digest that operators see. */
export function shortDigestOf(key: string): string {
  return hash('sha256', key, 'hex').slice(0, SHORT_DIGEST_LENGTH);
}
