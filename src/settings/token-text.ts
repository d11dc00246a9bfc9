/**
 * The text of a bearer token: `dwt_`, its identifier, `_` and 256 random bits.
 * The controllers keep only its SHA-256: with that much entropy a slow hash
 * would add nothing but load.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

const SECRET_BYTES = 32;
const TOKEN_PATTERN = /^dwt_([a-z0-9-]{1,63})_[A-Za-z0-9_-]{43}$/;

/** A new token text for `tokenId`. */
export function createTokenText(tokenId: string): string {
  return `dwt_${tokenId}_${randomBytes(SECRET_BYTES).toString('base64url')}`;
}

/** The identifier within a token text, or undefined when it is none. */
export function tokenIdOf(text: string): string | undefined {
  return TOKEN_PATTERN.exec(text)?.[1];
}

/** What the controllers keep of a token text. */
export function hashToken(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Compares in constant time. */
export function tokenMatches(text: string, hash: string): boolean {
  return timingSafeEqual(Buffer.from(hashToken(text), 'hex'), Buffer.from(hash, 'hex'));
}
