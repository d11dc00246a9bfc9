/** A change that became a revision; streamed to daemons, which apply it with the same function. */
import type { Operation } from './change.js';

/** One entry of the configuration history. */
export interface AcceptedChange {
  /** Of the configuration after the change. Consecutive changes have consecutive revisions. */
  readonly revision: number;
  readonly changeId: string;
  readonly author: string;
  /** Team of the token that authorised it; undefined for the bootstrap token. */
  readonly team?: string;
  readonly reason: string;
  /** By the clock of the controller that took the request. Milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  readonly operations: readonly Operation[];
}
