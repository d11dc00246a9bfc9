/** Generates identifiers that are unique across routers and across incarnations of one router. */
import type { RandomSource } from '../seams/random-source.js';

const INCARNATION_IDENTIFIER_BYTES = 6;

/** Sequence of identifiers of one incarnation of one router. */
export class IdentifierSequence {
  private readonly prefix: string;
  private count = 0;

  constructor(routerName: string, random: RandomSource) {
    this.prefix = `${routerName}.${random.nextIdentifier(INCARNATION_IDENTIFIER_BYTES)}`;
  }

  /** A new identifier, `router.incarnation.number`: a random incarnation, a number in base 36. */
  next(): string {
    this.count += 1;
    return `${this.prefix}.${this.count.toString(36)}`;
  }

  /** Appends a new identifier to the caller's: `requestId~router.incarnation.number`. */
  makeUnique(requestId: string): string {
    return `${requestId}~${this.next()}`;
  }
}
