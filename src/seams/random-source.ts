/**
 * The randomness seam: seeded in tests and in the simulator, seeded from the
 * operating system in production.
 */

/** Source of random numbers. Not for secrets: those come from `node:crypto` at their use. */
export interface RandomSource {
  /** A number in [0, 1). */
  nextFloat(): number;

  /** An integer in [minimum, maximum], both ends included. */
  nextInteger(minimum: number, maximum: number): number;

  /** A lower-case hexadecimal identifier of `bytes` random bytes. */
  nextIdentifier(bytes: number): string;
}
