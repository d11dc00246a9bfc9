/** The four messages that open every internal connection. */
import { MessageCodec } from './message-codec.js';

/** First message, from the side that opened the connection. */
export interface HelloMessage {
  readonly kind: 'hello';
  readonly clusterId: string;
  readonly protocolVersion: number;
  /** One of `ConnectionRole`. */
  readonly role: string;
  /** Member id of a controller, or name of a daemon. */
  readonly name: string;
  readonly nonce: Uint8Array;
}

/** Answer to a hello that fits: asks for proof of the key. */
export interface ChallengeMessage {
  readonly kind: 'challenge';
  /** Lower of both sides' versions; the one spoken from here on. */
  readonly protocolVersion: number;
  /** Member id of the accepting controller. */
  readonly name: string;
  readonly nonce: Uint8Array;
}

/** Proof of the side that opened the connection. */
export interface ProofMessage {
  readonly kind: 'proof';
  readonly proof: Uint8Array;
}

/** Proof of the accepting side; the connection is open. */
export interface AcceptedMessage {
  readonly kind: 'accepted';
  readonly proof: Uint8Array;
}

/** The accepting side turns the connection away and closes it. */
export interface RejectedMessage {
  readonly kind: 'rejected';
  /** One of `HandshakeFailure`. */
  readonly reason: string;
}

export type HandshakeMessage =
  HelloMessage | ChallengeMessage | ProofMessage | AcceptedMessage | RejectedMessage;

export const HANDSHAKE_CODEC = new MessageCodec<HandshakeMessage>({
  hello: {
    tag: 1,
    fields: [
      { name: 'clusterId', type: 'string' },
      { name: 'protocolVersion', type: 'int' },
      { name: 'role', type: 'string' },
      { name: 'name', type: 'string' },
      { name: 'nonce', type: 'bytes' },
    ],
  },
  challenge: {
    tag: 2,
    fields: [
      { name: 'protocolVersion', type: 'int' },
      { name: 'name', type: 'string' },
      { name: 'nonce', type: 'bytes' },
    ],
  },
  proof: { tag: 3, fields: [{ name: 'proof', type: 'bytes' }] },
  accepted: { tag: 4, fields: [{ name: 'proof', type: 'bytes' }] },
  rejected: { tag: 5, fields: [{ name: 'reason', type: 'string' }] },
});
