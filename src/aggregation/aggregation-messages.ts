/**
 * Messages between a root gateway, which a caller reached, and a leaf gateway,
 * which asks some of the shards for it. One connection carries many gathers at
 * once, told apart by a number that the root gives.
 */
import { MessageCodec, type MessageField } from '../protocol/message-codec.js';

/** First in a frame with a gather: the caller's request, the same for all leaves. */
export interface RequestMessage {
  readonly kind: 'request';
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly target: string;
  /** The caller's end-to-end headers, a JSON object. */
  readonly headers: string;
  readonly body: Uint8Array;
  /** Shards that the whole request asks, at all leaves together. */
  readonly totalShards: number;
  readonly routeName: string;
  readonly routeHost: string;
  readonly routePathPrefix: string;
  /** Of the route document that the root works by. */
  readonly routeVersion: number;
  /** Greatest records that an answer holds. */
  readonly topRecords: number;
  readonly targetLatencyMs: number;
  readonly priority: number;
}

/** Root to leaf: ask these shards. */
export interface GatherMessage {
  readonly kind: 'gather';
  /** Unique on its connection. */
  readonly gatherId: number;
  /** Names of the services to ask, a JSON array. */
  readonly shards: string;
  /** Replicas of each shard that this leaf may ask. */
  readonly maximumAttempts: number;
  /** Since the root received the request. Milliseconds. */
  readonly elapsedMs: number;
  /** Until the request's deadline. Milliseconds. */
  readonly leftMs: number;
  /** Until the root has to answer with what it has; parts that are in by then are sent. Milliseconds. */
  readonly reportInMs: number;
  /** Another leaf was given these shards before and may have asked replicas. */
  readonly isRepeat: boolean;
}

/**
 * Root to relay: have these shards asked by the leaves of the relay's zone, and report their parts
 * merged. All else is as with a gather: what a leaf may do without a grant, a relay and its
 * leaves together may.
 */
export interface RelayMessage extends Omit<GatherMessage, 'kind'> {
  readonly kind: 'relay';
}

/** Root to leaf: the result is not wanted any more. */
export interface CancelMessage {
  readonly kind: 'cancel';
  readonly gatherId: number;
}

/**
 * Root to leaf: it may ask a second replica of a shard. After this the root gives
 * the shards to no other leaf, so that all together keep to the attempts of the route.
 */
export interface GrantMessage {
  readonly kind: 'grant';
  readonly gatherId: number;
}

/** Leaf to root: parts that are in since the last such message of the gather, merged. */
export interface PartsMessage {
  readonly kind: 'parts';
  readonly gatherId: number;
  /** Positions of their shards in the gather's list, a JSON array. */
  readonly shards: string;
  /** The replicas' signatures in the same order, a JSON array. */
  readonly signatures: string;
  /** The greatest records of these parts. */
  readonly records: Uint8Array;
  /** Nothing more follows: shards not named in any message of the gather have failed. */
  readonly isLast: boolean;
  /** The leaf wants to ask second replicas and needs the root's grant for it. */
  readonly wantsGrant: boolean;
  /** Whether a replica of a shard without a part may have run the request. */
  readonly mayHaveRun: boolean;
  /** Requests to replicas so far. */
  readonly sends: number;
  /** Why shards failed; empty when none did. */
  readonly reason: string;
  /** Part of the requests for these shards that their replicas' queues let the leaf take on. */
  readonly admittedPart: number;
  /** Gathers in progress at the leaf. */
  readonly gathersInProgress: number;
}

/** Leaf to root: the gather was not begun, and asks no replica. */
export interface DeclinedMessage {
  readonly kind: 'declined';
  readonly gatherId: number;
  readonly reason: string;
}

/** Leaf to root: it is about to stop. It finishes what it has and takes no new gathers. */
export interface StoppingMessage {
  readonly kind: 'stopping';
}

export type AggregationMessage =
  | RequestMessage
  | GatherMessage
  | RelayMessage
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
