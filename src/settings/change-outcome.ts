/** What became of one command; kept for resends and returned to the proposer. */

/** The credentials do not reach that far. */
export interface RefusedOutcome {
  readonly kind: 'forbidden';
  readonly path: string;
  readonly reason: string;
}

/** `accepted` became a revision; everything else changed nothing but the record of outcomes. */
export type ChangeOutcome =
  | { readonly kind: 'accepted'; readonly revision: number; readonly acceptedAt: number }
  /** A token was created or revoked, which makes no revision. */
  | { readonly kind: 'done'; readonly acceptedAt: number }
  /** The configuration had moved on from the revision the change was made against. */
  | { readonly kind: 'conflict'; readonly baseRevision: number; readonly currentRevision: number }
  | { readonly kind: 'rejected'; readonly path: string; readonly reason: string }
  | RefusedOutcome
  /** The change id was used before, for something else. */
  | { readonly kind: 'changeIdReused' };

/** An outcome with whether it was reached by an earlier attempt at the same change. */
export interface RecordedOutcome {
  readonly outcome: ChangeOutcome;
  readonly repeated: boolean;
}
