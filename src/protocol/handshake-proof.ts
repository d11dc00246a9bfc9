/**
 * Proof of the cluster key. Each side signs everything both sides said, its own
 * part in the exchange included, so that a proof fits one connection and one
 * direction only: it can be neither replayed nor reflected.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Bytes of the random number each side contributes. */
export const NONCE_BYTES = 32;

const ALGORITHM = 'sha256';

/** Which side signs. */
export type ProvingSide = 'initiator' | 'acceptor';

/** A fresh nonce; secret-grade, so not from the seeded source. */
export function createNonce(): Uint8Array {
  return randomBytes(NONCE_BYTES);
}

/** HMAC-SHA-256 over the side and the exact bytes of both opening messages. */
export function createProof(
  key: string,
  side: ProvingSide,
  helloFrame: Uint8Array,
  challengeFrame: Uint8Array,
): Uint8Array {
  const lengths = Buffer.alloc(8);
  lengths.writeUInt32BE(helloFrame.length, 0);
  lengths.writeUInt32BE(challengeFrame.length, 4);
  return createHmac(ALGORITHM, key)
    .update(`driftway ${side}\n`)
    .update(lengths)
    .update(helloFrame)
    .update(challengeFrame)
    .digest();
}

/** Compares in constant time. */
export function proofsEqual(expected: Uint8Array, received: Uint8Array): boolean {
  return expected.length === received.length && timingSafeEqual(expected, received);
}
