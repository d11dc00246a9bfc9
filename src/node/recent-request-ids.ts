/**
 * Remembers which requests were sent on a connection lately. Keeps fingerprints instead of ids, because
 * a caller decides how long an id is. A collision of two fingerprints only costs a connection.
 */
import { xxh32 } from '@node-rs/xxhash';

/** Further requests overwrite the oldest. */
const MAXIMUM_IDS = 256;

/** Fingerprint of a request's id. */
export function requestFingerprint(requestId: string): number {
  return xxh32(requestId);
}

/** The latest requests of one connection. */
export class RecentRequestIds {
  private readonly fingerprints: number[] = [];
  private next = 0;

  add(fingerprint: number): void {
    this.fingerprints[this.next] = fingerprint;
    this.next = (this.next + 1) % MAXIMUM_IDS;
  }

  has(fingerprint: number): boolean {
    return this.fingerprints.includes(fingerprint);
  }

  clear(): void {
    this.fingerprints.length = 0;
    this.next = 0;
  }
}
