/**
 * Messages between a gateway and the quota owner, the controller that grants the tokens of tenants.
 * A gateway has at most one frame in flight. Token requests that arise meanwhile go into the next
 * frame, so that an owner under load receives larger frames instead of more frames.
 */
import { MessageCodec } from '../protocol/message-codec.js';

/** Gateway to controller, first in each frame. A frame without token requests is a heartbeat. */
export interface QuotaRoundMessage {
  readonly kind: 'round';
  readonly round: number;
}

/**
 * Gateway to owner: a token request with the uses of one tenant to report. Numbers count requests
 * or tokens.
 */
export interface TokenRequestMessage {
  readonly kind: 'ask';
  readonly tenant: string;
  /** Requests admitted without a token. */
  readonly spent: number;
  /** Tokens that weren't used, or whose requests ran nowhere. */
  readonly returned: number;
  /** Requests that wait for the response. */
  readonly waiting: number;
  /** Tokens to prefetch for requests that are expected soon. */
  readonly ahead: number;
  /**
   * Requests refused by the gateway since the last token request: while the next token wasn't due,
   * which only gateways of an earlier version do, and because no owner decided in time.
   */
  readonly refused: number;
  readonly refusedWithoutOwner: number;
}

/**
 * Gateway to owner, after an `ask` with waiting requests: who waits. Gateways of earlier versions
 * don't send it.
 */
export interface QuotaCallersMessage {
  readonly kind: 'callers';
  /** Identities of the waiting requests, {@link CALLER_BYTES} each, in their order. */
  readonly callers: Uint8Array;
}

/**
 * Gateway to owner, after an `ask` and its `callers`: retry times of requests that this gateway has refused,
 * perhaps by a response of an earlier owner.
 */
export interface QuotaReservationsMessage {
  readonly kind: 'reservations';
  /** Identities of the refused requests, {@link CALLER_BYTES} each. */
  readonly callers: Uint8Array;
  /** Milliseconds until their retry times, as in {@link QuotaRetriesMessage}. */
  readonly dueInMs: Uint8Array;
}

/** Owner to gateway, first in each frame: acknowledges the round. */
export interface QuotaRoundResponseMessage {
  readonly kind: 'answered';
  readonly round: number;
}

/** Owner to gateway: the response to one token request. */
export interface TokenResponseMessage {
  readonly kind: 'answer';
  readonly tenant: string;
  /** Number of tokens granted. */
  readonly granted: number;
  /** Milliseconds in which the gateway may admit nothing without a token. */
  readonly pressureMs: number;
  /** Milliseconds until the tenant has a token again; 0 when nothing was refused. */
  readonly nextTokenMs: number;
  /** Milliseconds until the first of the refused requests may be retried, and between two retries. */
  readonly retryAfterMs: number;
  readonly retrySpacingMs: number;
}

/** Owner to gateway, after the `answer` to an `ask` with `callers`: the decision on each waiting request. */
export interface QuotaRetriesMessage {
  readonly kind: 'retries';
  /**
   * For each waiting request in its order: 0 when it is admitted, otherwise the milliseconds until
   * its retry time. Unsigned big-endian integers of {@link RETRY_BYTES}.
   */
  readonly retries: Uint8Array;
}

/** Controller to gateway: this controller isn't the owner. */
export interface QuotaRedirectMessage {
  readonly kind: 'redirect';
  /** Address of the owner as `host:port`; empty when it isn't known. */
  readonly owner: string;
}

/** Any message between a gateway and a controller on a quota connection. */
export type QuotaMessage =
  | QuotaRoundMessage
  | TokenRequestMessage
  | QuotaCallersMessage
  | QuotaReservationsMessage
  | QuotaRoundResponseMessage
  | TokenResponseMessage
  | QuotaRetriesMessage
  | QuotaRedirectMessage;

/** A token request with the identities of its waiting requests, where the gateway sends them. */
export interface TokenRequest extends TokenRequestMessage {
  readonly callers?: readonly string[];
  readonly reservations?: readonly ReportedReservation[];
}

/** A refused request whose retry time is in `dueInMs` milliseconds. */
export interface ReportedReservation {
  readonly caller: string;
  readonly dueInMs: number;
}

/** A token response with the decision on each waiting request, where the owner sends them. */
export interface TokenResponse extends TokenResponseMessage {
  /** 0 when the request is admitted, otherwise the milliseconds until its retry time. */
  readonly retries?: readonly number[];
}

/** Length of a caller's identity, which is a hash, and of a retry time. */
export const CALLER_BYTES = 8;
export const RETRY_BYTES = 4;

/** Encodes and decodes quota messages; the tags and field names are part of the wire format. */
export const QUOTA_CODEC = new MessageCodec<QuotaMessage>({
  round: { tag: 80, fields: [{ name: 'round', type: 'long' }] },
  ask: {
    tag: 81,
    fields: [
      { name: 'tenant', type: 'string' },
      { name: 'spent', type: 'long' },
      { name: 'returned', type: 'long' },
      { name: 'waiting', type: 'long' },
      { name: 'ahead', type: 'long' },
      { name: 'refused', type: 'long' },
      { name: 'refusedWithoutOwner', type: 'long' },
    ],
  },
  answered: { tag: 82, fields: [{ name: 'round', type: 'long' }] },
  answer: {
    tag: 83,
    fields: [
      { name: 'tenant', type: 'string' },
      { name: 'granted', type: 'long' },
      { name: 'pressureMs', type: 'double' },
      { name: 'nextTokenMs', type: 'double' },
      { name: 'retryAfterMs', type: 'double' },
      { name: 'retrySpacingMs', type: 'double' },
    ],
  },
  redirect: { tag: 84, fields: [{ name: 'owner', type: 'string' }] },
  callers: { tag: 85, fields: [{ name: 'callers', type: 'bytes' }] },
  retries: { tag: 86, fields: [{ name: 'retries', type: 'bytes' }] },
  reservations: {
    tag: 87,
    fields: [
      { name: 'callers', type: 'bytes' },
      { name: 'dueInMs', type: 'bytes' },
    ],
  },
});
