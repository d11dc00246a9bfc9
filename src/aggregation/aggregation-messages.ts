/**
 * Messages between a root gateway, which received a caller's request, and a leaf gateway, which
 * queries some of the shards on its behalf. A gather is one leaf's query of such shards for one
 * request. A connection multiplexes many gathers, identified by a number that the root assigns.
 */
import { MessageCodec, type MessageField } from '../protocol/message-codec.js';

/**
 * The caller's request, the same for all leaves. Precedes the gather or relay message in one frame.
 */
export interface RequestMessage {
  readonly kind: 'request';
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly target: string;
  /** The caller's end-to-end headers, as a JSON object. */
  readonly headers: string;
  readonly body: Uint8Array;
  /** Number of shards of the whole request, over all leaves. */
  readonly totalShards: number;
  readonly routeName: string;
  readonly routeHost: string;
  readonly routePathPrefix: string;
  /** Version of the root's route document. */
  readonly routeVersion: number;
  /** Maximum number of records in an answer; the greatest ones are kept. */
  readonly topRecords: number;
  readonly targetLatencyMs: number;
  readonly priority: number;
}

/** Root to leaf: query these shards. */
export interface GatherMessage {
  readonly kind: 'gather';
  /** Unique on the connection. */
  readonly gatherId: number;
  /** Names of the shards' services, as a JSON array. */
  readonly shards: string;
  /** Maximum number of attempts, to different replicas, per shard at this leaf. */
  readonly maximumAttempts: number;
  /** Time since the root received the request. Milliseconds. */
  readonly elapsedMs: number;
  /** Time until the request's deadline. Milliseconds. */
  readonly leftMs: number;
  /**
   * Time until the leaf must report the parts received so far, as the root is about to answer.
   * Milliseconds.
   */
  readonly reportInMs: number;
  /** Another leaf received these shards before and may have sent requests to replicas. */
  readonly isRepeat: boolean;
}

/**
 * Root to relay: have the leaves of the relay's zone query these shards, and report their merged
 * parts. A relay and its leaves together are bound by the limits of a single leaf: without a grant
 * they send one attempt per shard.
 */
export interface RelayMessage extends Omit<GatherMessage, 'kind'> {
  readonly kind: 'relay';
}

/**
 * Root to leaf: when the root sent the frame. Sent alone once a connection is open, and in the frame
 * of each gather or relay. Peers below {@link SEND_TIME_SINCE_VERSION} do not know it.
 */
export interface SendTimeMessage {
  readonly kind: 'sendTime';
  /** Reading of the root's monotonic clock; only differences have a meaning at the leaf. */
  readonly sentAt: number;
}

/** Protocol version from which leaves understand {@link SendTimeMessage}. */
export const SEND_TIME_SINCE_VERSION = 3;

/** Root to leaf: the result is no longer needed. */
export interface CancelMessage {
  readonly kind: 'cancel';
  readonly gatherId: number;
}

/**
 * Root to leaf: permits attempts to further replicas of each shard. The root then assigns the
 * shards to no other leaf, so that all leaves together stay within the route's attempt limit.
 */
export interface GrantMessage {
  readonly kind: 'grant';
  readonly gatherId: number;
}

/**
 * Leaf to root: a report with the merged parts received since the previous report of the gather.
 */
export interface PartsMessage {
  readonly kind: 'parts';
  readonly gatherId: number;
  /** Positions of the parts' shards in the gather's list, as a JSON array. */
  readonly shards: string;
  /** Signatures of the replicas in the same order, as a JSON array. */
  readonly signatures: string;
  /** The greatest records of these parts, merged. */
  readonly records: Uint8Array;
  /** Last report of the gather: shards that no report contained have failed. */
  readonly isLast: boolean;
  /** The leaf requests a grant to send attempts to further replicas. */
  readonly wantsGrant: boolean;
  /** Whether a replica of a shard without a part may have executed the request. */
  readonly mayHaveRun: boolean;
  /** Number of attempts sent to replicas so far. */
  readonly sends: number;
  /** Why shards failed; empty when none has failed. */
  readonly reason: string;
  /**
   * Fraction of the requests for these shards that the leaf admits, given the queues of their
   * replicas.
   */
  readonly admittedPart: number;
  /** Number of gathers in progress at the leaf. */
  readonly gathersInProgress: number;
}

/** Leaf to root: the gather was not started, and no replica received the request. */
export interface DeclinedMessage {
  readonly kind: 'declined';
  readonly gatherId: number;
  readonly reason: string;
}

/**
 * Leaf to root: the leaf is draining. It finishes the gathers in progress and declines new ones.
 */
export interface StoppingMessage {
  readonly kind: 'stopping';
}

export type AggregationMessage =
  | RequestMessage
  | GatherMessage
  | RelayMessage
  | SendTimeMessage
  | CancelMessage
  | GrantMessage
  | PartsMessage
  | DeclinedMessage
  | StoppingMessage;

function field(name: string, type: MessageField['type']): MessageField {
  return { name, type };
}

const GATHER_FIELDS: readonly MessageField[] = [
  field('gatherId', 'long'),
  field('shards', 'string'),
  field('maximumAttempts', 'long'),
  field('elapsedMs', 'double'),
  field('leftMs', 'double'),
  field('reportInMs', 'double'),
  field('isRepeat', 'boolean'),
];

export const AGGREGATION_CODEC = new MessageCodec<AggregationMessage>({
  gather: { tag: 60, fields: GATHER_FIELDS },
  relay: { tag: 67, fields: GATHER_FIELDS },
  request: {
    tag: 66,
    fields: [
      field('requestId', 'string'),
      field('method', 'string'),
      field('target', 'string'),
      field('headers', 'string'),
      field('body', 'bytes'),
      field('totalShards', 'long'),
      field('routeName', 'string'),
      field('routeHost', 'string'),
      field('routePathPrefix', 'string'),
      field('routeVersion', 'long'),
      field('topRecords', 'long'),
      field('targetLatencyMs', 'double'),
      field('priority', 'long'),
    ],
  },
  sendTime: { tag: 68, fields: [field('sentAt', 'double')] },
  cancel: { tag: 61, fields: [field('gatherId', 'long')] },
  parts: {
    tag: 62,
    fields: [
      field('gatherId', 'long'),
      field('shards', 'string'),
      field('signatures', 'string'),
      field('records', 'bytes'),
      field('isLast', 'boolean'),
      field('wantsGrant', 'boolean'),
      field('mayHaveRun', 'boolean'),
      field('sends', 'long'),
      field('reason', 'string'),
      field('admittedPart', 'double'),
      field('gathersInProgress', 'long'),
    ],
  },
  declined: { tag: 63, fields: [field('gatherId', 'long'), field('reason', 'string')] },
  stopping: { tag: 64, fields: [] },
  grant: { tag: 65, fields: [field('gatherId', 'long')] },
});
