/** Who created or revoked which token, when and why. */

/** One entry; the controllers keep the last {@link TOKEN_RECORDS}. */
export interface TokenRecord {
  readonly action: 'created' | 'revoked';
  readonly tokenId: string;
  readonly changeId: string;
  readonly author: string;
  readonly reason: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

export const TOKEN_RECORDS = 1_024;
