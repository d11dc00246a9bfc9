/**
 * Messages between a gateway and the controller that grants the tokens of tenants. A gateway
 * has one frame unanswered at most; what comes up meanwhile goes into the next one, so that an
 * owner under load gets larger frames, not more.
 */
import { MessageCodec } from '../protocol/message-codec.js';

/** Gateway to controller, first in each frame; alone, it shows whether the owner still answers. */
export interface QuotaRoundMessage {
  readonly kind: 'round';
  readonly round: number;
}

/** Gateway to owner: what it has used and needs of a tenant. Numbers are requests. */
export interface TokenRequestMessage {
  readonly kind: 'ask';
  readonly tenant: string;
  /** Passed on without a token. */
  readonly spent: number;
  /** Tokens that were not used, or whose requests ran nowhere. */
  readonly returned: number;
  /** Requests that wait for this answer. */
  readonly waiting: number;
  /** Tokens for requests that are expected soon. */
  readonly ahead: number;
  /** Refused at the gateway since the last question: as the next token was not due, or without an owner. */
  readonly refused: number;
  readonly refusedWithoutOwner: number;
}

/** Owner to gateway, first in each frame: answers the round. */
export interface QuotaRoundResponseMessage {
  readonly kind: 'answered';
  readonly round: number;
}

/** Owner to gateway: answers one question. */
export interface TokenResponseMessage {
  readonly kind: 'answer';
  readonly tenant: string;
  /** Tokens. */
  readonly granted: number;
  /** For so long nothing may be passed on without a token. Milliseconds. */
  readonly pressureMs: number;
  /** Until the tenant has a token again; 0 when nothing was refused. Milliseconds. */
  readonly nextTokenMs: number;
  /** When the first of the refused requests may come back, and between two of them. Milliseconds. */
  readonly retryAfterMs: number;
  readonly retrySpacingMs: number;
}

/** Controller to gateway: it does not grant tokens. */
export interface QuotaRedirectMessage {
  readonly kind: 'redirect';
  /** `host:port` of the owner; empty when it is not known. */
  readonly owner: string;
}

/** All messages between a gateway and the owner. */
export type QuotaMessage =
  | QuotaRoundMessage
  | TokenRequestMessage
  | QuotaRoundResponseMessage
  | TokenResponseMessage
  | QuotaRedirectMessage;

/** Encodes and decodes them. */
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
});
