/** Identities by which a quota owner recognizes the retry of a request that it refused. */
import type { RandomSource } from '../seams/random-source.js';
import { CALLER_BYTES } from './quota-messages.js';

const CALLER_DIGITS = CALLER_BYTES * 2;
/** Exclusive upper bound of a drawn identity; exact as a floating-point number. */
const MAXIMUM_DRAW = 2 ** 48;

/** The identity of a request with this fingerprint, the same each time it is sent. Hexadecimal. */
export function callerOf(fingerprint: string): string {
  return fingerprint.slice(0, CALLER_DIGITS);
}

/** An identity for a request that has no fingerprint. */
export function drawCaller(random: RandomSource): string {
  const draw = Math.floor(random.nextFloat() * MAXIMUM_DRAW).toString(16);
  return draw.padStart(CALLER_DIGITS, '0');
}
