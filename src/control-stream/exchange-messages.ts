/** Messages by which controllers exchange daemon records and liveness reports. */
import { MessageCodec } from '../protocol/message-codec.js';
import type { DaemonRecord } from './daemon-record.js';

/** A daemon's latest record. */
export interface DaemonMessage extends DaemonRecord {
  readonly kind: 'daemon';
  /** Time since the daemon's report. Milliseconds. */
  readonly silentMs: number;
}

/** A report on a replica's state, and the zone for which it is valid. */
export interface ScopedLivenessReportMessage {
  readonly kind: 'scopedSign';
  /** Name of the zone; empty for all zones. */
  readonly scope: string;
  readonly replicaId: string;
  readonly incarnation: number;
  readonly state: string;
  readonly observedBy: string;
}

/** Shows that the sender is alive when it has nothing else to send. */
export interface KeepAliveMessage {
  readonly kind: 'keepAlive';
}

/**
 * Answer that lists the controllers connected to the receiver. Other controllers
 * need not forward their daemon records to it.
 */
export interface HearingMessage {
  readonly kind: 'hearing';
  /** Member ids, separated by spaces. */
  readonly memberIds: string;
}

export type ExchangeMessage =
  DaemonMessage | ScopedLivenessReportMessage | KeepAliveMessage | HearingMessage;

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

/** Extracts the record from a message. */
export function toDaemonRecord(message: DaemonMessage): DaemonRecord {
  const { name, zone, version, incarnation, sequence, revision, controller, left } = message;
  return { name, zone, version, incarnation, sequence, revision, controller, left };
}
