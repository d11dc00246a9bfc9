/** Messages of the directory stream, in both directions between controllers and subscribers. */
import { MessageCodec, type MessageField } from '../protocol/message-codec.js';
import type { ZoneEvacuation } from '../evacuations/zone-evacuation.js';

/** First message of a subscriber. */
export interface SubscribeMessage {
  readonly kind: 'subscribe';
  /** A {@link SubscriberKind}. */
  readonly subscriberKind: string;
  readonly zone: string;
  /** `host:port` at which the subscriber accepts gathers from other gateways; empty if it accepts none. */
  readonly gatherAddress: string;
}

/** The entry of a replica that does not report when its process started; see `ReplicaEntry`. */
export interface ReplicaMessage {
  readonly kind: 'replica';
  readonly replicaId: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly capacity: number;
  readonly state: string;
  readonly sequence: number;
  readonly warmupMs: number;
  readonly restored: boolean;
}

/** The entry of a replica that reports when its process started; see `ReplicaEntry`. */
export interface ReplicaIncarnationMessage extends Omit<ReplicaMessage, 'kind'> {
  readonly kind: 'replicaLife';
  readonly bornAt: number;
  readonly generation: number;
}

/** The sender has received a heartbeat of the replica since its previous frame. */
export interface HeardMessage {
  readonly kind: 'heard';
  readonly replicaId: string;
}

/** The route document in force. */
export interface DocumentMessage {
  readonly kind: 'document';
  readonly version: number;
  readonly content: Uint8Array;
}

/** The latest evacuation state of a zone; see `ZoneEvacuation`. */
export interface EvacuationMessage extends ZoneEvacuation {
  readonly kind: 'evacuation';
}

/** What the controllers agreed on about a request during which replicas ended; see `QuarantineEntry`. */
export interface QuarantineMessage {
  readonly kind: 'quarantine';
  /** A `QuarantineState`. */
  readonly state: string;
  readonly trialHolder: string;
  readonly revision: number;
  readonly fingerprint: string;
  readonly description: string;
  /** See `joinIds`. */
  readonly ended: string;
  readonly endedInTrial: string;
}

/** A gateway's evidence about a request during which replicas ended; see `QuarantineChange`. */
export interface CrashEvidenceMessage {
  readonly kind: 'crashEvidence';
  /** A `QuarantineChangeKind`. */
  readonly change: string;
  readonly holder: string;
  readonly replaces: string;
  readonly fingerprint: string;
  readonly description: string;
  /** See `joinIds`. */
  readonly ended: string;
  readonly endedInTrial: string;
}

/** One member of the controller group. */
export interface ControllerMessage {
  readonly kind: 'controller';
  readonly memberId: string;
  /** `host:port` for internal messages. */
  readonly address: string;
  /** Empty while unknown to the sender. */
  readonly zone: string;
}

/**
 * A gateway that joined or left. Controllers are sent the gateways that follow the sender; gateways
 * are sent the leaf gateways, which accept gathers from other gateways.
 */
export interface GatewayMessage {
  readonly kind: 'gateway';
  readonly name: string;
  readonly zone: string;
  /** See {@link SubscribeMessage.gatherAddress}. */
  readonly address: string;
  readonly isGone: boolean;
}

/** Last message of each frame from a controller; a frame with only a status is a heartbeat. */
export interface StatusMessage {
  readonly kind: 'status';
  /** Position of the sender's directory up to which the subscriber now has all changes. */
  readonly position: number;
  /**
   * Time since the sender last confirmed a quorum and had applied every committed entry.
   * Milliseconds.
   */
  readonly ageMs: number;
  /** Number of gateways recently connected, as known to the sender. */
  readonly gateways: number;
  /** Whether the sender is about to stop. */
  readonly stopping: boolean;
}

/** The subscriber has applied everything up to a position. */
export interface ConfirmMessage {
  readonly kind: 'confirm';
  readonly position: number;
  /** Version of the route document in force at the subscriber; {@link NO_DOCUMENT} when none is. */
  readonly documentVersion: number;
}

/** All gateways that follow the subscribing controller have applied everything up to a position. */
export interface RelayedMessage {
  readonly kind: 'relayed';
  readonly position: number;
}

/** A gateway's request for the version of the route document in force. */
export interface ConfirmVersionMessage {
  readonly kind: 'confirmVersion';
  /** Identifies the request in its response. */
  readonly number: number;
}

/** Response to {@link ConfirmVersionMessage}: a quorum held this version after the request arrived. */
export interface VersionConfirmedMessage {
  readonly kind: 'versionConfirmed';
  /** Number of the request. */
  readonly number: number;
  /** {@link NO_DOCUMENT} if there is no document. */
  readonly version: number;
}

export type DirectoryMessage =
  | SubscribeMessage
  | ReplicaMessage
  | ReplicaIncarnationMessage
  | HeardMessage
  | DocumentMessage
  | EvacuationMessage
  | QuarantineMessage
  | CrashEvidenceMessage
  | ControllerMessage
  | GatewayMessage
  | StatusMessage
  | ConfirmMessage
  | RelayedMessage
  | ConfirmVersionMessage
  | VersionConfirmedMessage;

/** Document version that means "no route document yet". */
export const NO_DOCUMENT = -1;

/** Kind of process that subscribes. */
export enum SubscriberKind {
  Gateway = 'gateway',
  Controller = 'controller',
}

function field(name: string, type: MessageField['type']): MessageField {
  return { name, type };
}

const REPLICA_FIELDS: readonly MessageField[] = [
  field('replicaId', 'string'),
  field('service', 'string'),
  field('address', 'string'),
  field('zone', 'string'),
  field('capacity', 'long'),
  field('state', 'string'),
  field('sequence', 'long'),
  field('warmupMs', 'double'),
  field('restored', 'boolean'),
];

export const DIRECTORY_CODEC = new MessageCodec<DirectoryMessage>({
  subscribe: {
    tag: 40,
    fields: [
      field('subscriberKind', 'string'),
      field('zone', 'string'),
      field('gatherAddress', 'string'),
    ],
  },
  replica: { tag: 41, fields: REPLICA_FIELDS },
  replicaLife: {
    tag: 52,
    fields: [...REPLICA_FIELDS, field('bornAt', 'long'), field('generation', 'long')],
  },
  heard: { tag: 42, fields: [field('replicaId', 'string')] },
  document: { tag: 43, fields: [field('version', 'long'), field('content', 'bytes')] },
  controller: {
    tag: 44,
    fields: [field('memberId', 'string'), field('address', 'string'), field('zone', 'string')],
  },
  status: {
    tag: 45,
    fields: [
      field('position', 'long'),
      field('ageMs', 'double'),
      field('gateways', 'long'),
      field('stopping', 'boolean'),
    ],
  },
  gateway: {
    tag: 47,
    fields: [
      field('name', 'string'),
      field('zone', 'string'),
      field('address', 'string'),
      field('isGone', 'boolean'),
    ],
  },
  evacuation: {
    tag: 49,
    fields: [field('zone', 'string'), field('isEvacuated', 'boolean'), field('revision', 'long')],
  },
  quarantine: {
    tag: 50,
    fields: [
      field('state', 'string'),
      field('trialHolder', 'string'),
      field('revision', 'long'),
      field('fingerprint', 'string'),
      field('description', 'string'),
      field('ended', 'string'),
      field('endedInTrial', 'string'),
    ],
  },
  crashEvidence: {
    tag: 51,
    fields: [
      field('change', 'string'),
      field('holder', 'string'),
      field('replaces', 'string'),
      field('fingerprint', 'string'),
      field('description', 'string'),
      field('ended', 'string'),
      field('endedInTrial', 'string'),
    ],
  },
  confirmVersion: { tag: 53, fields: [field('number', 'long')] },
  versionConfirmed: { tag: 54, fields: [field('number', 'long'), field('version', 'long')] },
  relayed: { tag: 48, fields: [field('position', 'long')] },
  confirm: { tag: 46, fields: [field('position', 'long'), field('documentVersion', 'long')] },
});
