/** Identifiers that no other router, and no other run of this one, gives out. */
import type { RandomSource } from '../seams/random-source.js';

const INCARNATION_IDENTIFIER_BYTES = 6;

/** Counts within one run of one router. */
export class IdentifierSequence {
  private readonly prefix: string;
  private count = 0;

  constructor(routerName: string, random: RandomSource) {
    this.prefix = `${routerName}.${random.nextIdentifier(INCARNATION_IDENTIFIER_BYTES)}`;
  }

  /** `router.run.number`. */
  next(): string {
    this.count += 1;
    return `${this.prefix}.${this.count.toString(36)}`;
  }

  /** The caller's identifier, made unique: `caller's~router.run.number`. */
  makeUnique(requestId: string): string {
    return `${requestId}~${this.next()}`;
  }
}
