/** Messages of the control stream between controllers and daemons. */
import { MessageCodec, type MessageField } from '../protocol/message-codec.js';

/** First message of a daemon. */
export interface SubscribeMessage {
  readonly kind: 'subscribe';
  /**
   * Incarnation of the daemon's process; larger than that of any earlier
   * process of the same name.
   */
  readonly incarnation: number;
  readonly zone: string;
  /** Version of the daemon's software. */
  readonly version: string;
  /** Revision in force at the daemon; {@link NO_REVISION} when none is. */
  readonly heldRevision: number;
  /** Whether the daemon only probes the source's health, and is to be sent heartbeats only. */
  readonly probe: boolean;
}

/** First message of a controller. */
export interface WelcomeMessage {
  readonly kind: 'welcome';
  /**
   * Whether a quorum confirmed, after the subscription arrived, that nothing
   * newer is committed.
   */
  readonly provenFresh: boolean;
  /** Largest incarnation that any process of the daemon's name has reported. */
  readonly knownIncarnation: number;
  /** Clock reading of the controller, as in {@link HeartbeatMessage}. Milliseconds. */
  readonly sourceTime: number;
}

/** Announces the chunks of a whole configuration. */
export interface SnapshotBeginMessage {
  readonly kind: 'snapshotBegin';
  readonly revision: number;
  readonly stateHash: string;
  readonly totalBytes: number;
}

/** The next part of the configuration, which is JSON text in UTF-8. */
export interface SnapshotChunkMessage {
  readonly kind: 'snapshotChunk';
  readonly bytes: Uint8Array;
}

/** One accepted change. */
export interface DeltaMessage {
  readonly kind: 'delta';
  readonly revision: number;
  /** Hash of the configuration after the change. */
  readonly stateHash: string;
  /** An `AcceptedChange`, as JSON text in UTF-8. */
  readonly change: Uint8Array;
}

/** Sent at a fixed interval, also when nothing changes. */
export interface HeartbeatMessage {
  readonly kind: 'heartbeat';
  /** Highest revision the controller knows to be committed. */
  readonly committedRevision: number;
  /** Hash of the configuration at that revision. */
  readonly stateHash: string;
  /** How long ago a quorum confirmed that the controller was up to date. Milliseconds. */
  readonly sinceQuorumMs: number;
  /**
   * Clock reading of the controller at the time of writing, from which delays
   * are detected. Milliseconds.
   */
  readonly sourceTime: number;
}

/** A report on a replica's state, in either direction. */
export interface LivenessReportMessage {
  readonly kind: 'sign';
  readonly replicaId: string;
  readonly incarnation: number;
  /** A `ReplicaState`. */
  readonly state: string;
  readonly observedBy: string;
}

/** Reports the revision in force at the daemon, at each change and at a fixed interval. */
export interface RevisionReportMessage {
  readonly kind: 'report';
  /** Increases with each report within an incarnation, across all controllers. */
  readonly sequence: number;
  readonly revision: number;
}

/** The daemon asks for the whole configuration. */
export interface ResyncMessage {
  readonly kind: 'resync';
  /** A `ResyncReason`; used as a label of the counter only. */
  readonly reason: string;
}

/** The sender is about to stop or to leave the stream; in either direction. */
export interface GoodbyeMessage {
  readonly kind: 'goodbye';
  /** A `GoodbyeReason`. */
  readonly reason: string;
}

export type StreamMessage =
  | SubscribeMessage
  | WelcomeMessage
  | SnapshotBeginMessage
  | SnapshotChunkMessage
  | DeltaMessage
  | HeartbeatMessage
  | LivenessReportMessage
  | RevisionReportMessage
  | ResyncMessage
  | GoodbyeMessage;

/** Value of a revision field when no revision is in force. */
export const NO_REVISION = -1;

/** Why a side announces the end of the stream. */
export type GoodbyeReason =
  /** The sender makes a planned stop. */
  | 'stopping'
  /** The controller could not prove that its configuration is fresh. */
  | 'not_proven_fresh'
  /** The daemon moves to another controller. */
  | 'moved';

/** Why a daemon asks for the whole configuration. */
export type ResyncReason = 'gap' | 'divergence' | 'unreadable';

function field(name: string, type: MessageField['type']): MessageField {
  return { name, type };
}

export const STREAM_CODEC = new MessageCodec<StreamMessage>({
  subscribe: {
    tag: 10,
    fields: [
      field('incarnation', 'long'),
      field('zone', 'string'),
      field('version', 'string'),
      field('heldRevision', 'long'),
      field('probe', 'boolean'),
    ],
  },
  welcome: {
    tag: 11,
    fields: [
      field('provenFresh', 'boolean'),
      field('knownIncarnation', 'long'),
      field('sourceTime', 'double'),
    ],
  },
  snapshotBegin: {
    tag: 12,
    fields: [field('revision', 'long'), field('stateHash', 'string'), field('totalBytes', 'long')],
  },
  snapshotChunk: { tag: 13, fields: [field('bytes', 'bytes')] },
  delta: {
    tag: 14,
    fields: [field('revision', 'long'), field('stateHash', 'string'), field('change', 'bytes')],
  },
  heartbeat: {
    tag: 15,
    fields: [
      field('committedRevision', 'long'),
      field('stateHash', 'string'),
      field('sinceQuorumMs', 'double'),
      field('sourceTime', 'double'),
    ],
  },
  sign: {
    tag: 16,
    fields: [
      field('replicaId', 'string'),
      field('incarnation', 'long'),
      field('state', 'string'),
      field('observedBy', 'string'),
    ],
  },
  report: { tag: 17, fields: [field('sequence', 'long'), field('revision', 'long')] },
  resync: { tag: 18, fields: [field('reason', 'string')] },
  goodbye: { tag: 19, fields: [field('reason', 'string')] },
});
