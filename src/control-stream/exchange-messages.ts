/** Messages by which controllers pass on what daemons told them. */
import { MessageCodec } from '../protocol/message-codec.js';
import type { DaemonRecord } from './daemon-record.js';

/** A daemon's latest report. */
export interface DaemonMessage extends DaemonRecord {
  readonly kind: 'daemon';
  /** Since the daemon gave the report. Milliseconds. */
  readonly silentMs: number;
}

/** A sign about a replica and where it holds. */
export interface ScopedReplicaReportMessage {
  readonly kind: 'scopedSign';
  /** A zone, or empty for every zone. */
  readonly scope: string;
  readonly replicaId: string;
  readonly incarnation: number;
  readonly state: string;
  readonly observedBy: string;
}

/** Nothing to say; shows that the sender is there. */
export interface KeepAliveMessage {
  readonly kind: 'keepAlive';
}

/** In an answer: which controllers the receiver hears itself, so that no one need pass on theirs. */
export interface HearingMessage {
  readonly kind: 'hearing';
  /** Separated by spaces. */
  readonly memberIds: string;
}

export type ExchangeMessage =
  DaemonMessage | ScopedReplicaReportMessage | KeepAliveMessage | HearingMessage;

export const EXCHANGE_CODEC = new MessageCodec<ExchangeMessage>({
  daemon: {
    tag: 40,
    fields: [
      { name: 'name', type: 'string' },
      { name: 'zone', type: 'string' },
      { name: 'version', type: 'string' },
      { name: 'incarnation', type: 'long' },
      { name: 'sequence', type: 'long' },
      { name: 'revision', type: 'long' },
      { name: 'controller', type: 'string' },
      { name: 'left', type: 'boolean' },
      { name: 'silentMs', type: 'double' },
    ],
  },
  scopedSign: {
    tag: 41,
    fields: [
      { name: 'scope', type: 'string' },
      { name: 'replicaId', type: 'string' },
      { name: 'incarnation', type: 'long' },
      { name: 'state', type: 'string' },
      { name: 'observedBy', type: 'string' },
    ],
  },
  keepAlive: { tag: 42, fields: [] },
  hearing: { tag: 43, fields: [{ name: 'memberIds', type: 'string' }] },
});

/** The record that a message carries. */
export function toDaemonRecord(message: DaemonMessage): DaemonRecord {
  const { name, zone, version, incarnation, sequence, revision, controller, left } = message;
  return { name, zone, version, incarnation, sequence, revision, controller, left };
}
