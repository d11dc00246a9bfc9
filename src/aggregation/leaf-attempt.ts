/** State of one attempt to have a leaf query a group of shards. */
import type { LogFields } from '../observability/logger.js';
import type { GatherHandle } from './leaf-link.js';

/** Times are clock readings. */
export interface LeafAttempt {
  readonly leaf: string;
  readonly sentAt: number;
  handle: GatherHandle | undefined;
  hasReported: boolean;
  /** The leaf has requested a grant; see `GrantMessage`. */
  wantsGrant: boolean;
  /** The leaf may send attempts to further replicas. */
  isGranted: boolean;
  /** Another leaf was tried as well, so the attempts of this one are already deducted. */
  isReplaced: boolean;
  sends: number;
  endedAt: number | undefined;
  result: string;
}

/** Creates the record of an attempt in flight. */
export function beginLeafAttempt(leaf: string, sentAt: number): LeafAttempt {
  return {
    leaf,
    sentAt,
    handle: undefined,
    hasReported: false,
    wantsGrant: false,
    isGranted: false,
    isReplaced: false,
    sends: 0,
    endedAt: undefined,
    result: 'in flight',
  };
}

/**
 * Returns the log fields of an attempt. `receivedAt` is when the root received the request;
 * `missing` is the number of the group's shards without a part.
 */
export function leafAttemptFields(
  { leaf, sentAt, endedAt, result, sends }: LeafAttempt,
  receivedAt: number,
  missing: number,
): LogFields {
  return {
    leaf,
    missing,
    sentAtMs: Math.round(sentAt - receivedAt),
    tookMs: endedAt === undefined ? undefined : Math.round(endedAt - sentAt),
    sends,
    result,
  };
}
