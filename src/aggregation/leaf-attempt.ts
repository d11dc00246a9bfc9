/** One leaf that was asked for a group of shards, and what became of it. */
import type { LogFields } from '../observability/logger.js';
import type { GatherHandle } from './leaf-link.js';

/** See the module comment. Times are clock readings. */
export interface LeafAttempt {
  readonly leaf: string;
  readonly sentAt: number;
  handle: GatherHandle | undefined;
  hasReported: boolean;
  /** It has asked to be allowed second replicas. */
  wantsGrant: boolean;
  /** It may ask second replicas. */
  isGranted: boolean;
  /** Its attempts have been counted: another leaf was asked as well. */
  isReplaced: boolean;
  sends: number;
  endedAt: number | undefined;
  result: string;
}

/** An attempt that begins now. */
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

/** For the log. `receivedAt` is the request's; `missing` are the group's shards without a part. */
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
