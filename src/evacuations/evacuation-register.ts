/**
 * Replicated register of evacuated zones. It is a section of the replicated state machine, so
 * every controller holds the same entries, as durable as the route document. A zone whose
 * evacuation has ended stays as a tombstone with the revision of the end, by which gateways
 * recognize older messages about the zone, and late copies of older orders are recognized.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { MessageType } from '../consensus/message-type.js';
import type { StateMachine } from '../consensus/replicated-log.js';
import type { ZoneEvacuation } from './zone-evacuation.js';

/** Maximum number of zones in the register, tombstones included; a deployment has far fewer. */
const MAXIMUM_ZONES = 1_000;

const orderType = new MessageType('EvacuationOrder', { zone: 'string', isEvacuated: 'boolean' });

/** Follows the order of a conditional command; absent from commands of earlier versions. */
const conditionType = new MessageType('EvacuationCondition', { expectedRevision: 'long' });

const entryType = new MessageType('ZoneEvacuation', {
  zone: 'string',
  isEvacuated: 'boolean',
  revision: 'long',
});

const outcomeType = new MessageType('EvacuationOutcome', {
  status: 'string',
  revision: 'long',
});

/** Revision of a zone without an entry. */
export const NO_REVISION = 0;

/** Desired state of a zone. */
export type EvacuationOrder = Pick<ZoneEvacuation, 'zone' | 'isEvacuated'>;

/** An order that is carried out only while no other order for its zone has been. */
export interface ConditionalEvacuationOrder extends EvacuationOrder {
  /** Revision of the zone's entry that the order follows; {@link NO_REVISION} when it has none. */
  readonly expectedRevision: number;
}

/** Effect of an order. */
export enum EvacuationOrderStatus {
  Changed = 'changed',
  /** The zone already was in the desired state, as after a repeated order. */
  Unchanged = 'unchanged',
  /** Another order for the zone came first; nothing was changed. */
  Superseded = 'superseded',
  /** The register is full; nothing was changed. */
  Refused = 'refused',
}

/** Result of an order. */
export interface EvacuationOutcome {
  readonly status: EvacuationOrderStatus;
  /** Revision of the zone's entry after the order; {@link NO_REVISION} when it has none. */
  readonly revision: number;
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Encodes the command that submits `order`. */
export function encodeEvacuationOrder(
  order: EvacuationOrder | ConditionalEvacuationOrder,
): Uint8Array {
  const { zone, isEvacuated } = order;
  const encoded = orderType.encode({ zone, isEvacuated });
  if (!('expectedRevision' in order)) return encoded;
  const { expectedRevision } = order;
  return Buffer.concat([encoded, conditionType.encode({ expectedRevision })]);
}

function decodeEvacuationOrder(command: Uint8Array): EvacuationOrder | ConditionalEvacuationOrder {
  const bytes = asBuffer(command);
  const { message, end } = orderType.decodeAt(bytes, 0);
  if (end === bytes.length) return message;
  return { ...message, ...conditionType.decode(bytes.subarray(end)) };
}

/** Decodes the result of {@link EvacuationRegister.apply}. */
export function decodeEvacuationOutcome(result: Uint8Array): EvacuationOutcome {
  const { status, revision } = outcomeType.decode(asBuffer(result));
  return { status: status as EvacuationOrderStatus, revision };
}

/** State machine section; {@link encodeEvacuationOrder} builds its commands. */
export class EvacuationRegister implements StateMachine {
  /** Emits after each change of an entry, and after a snapshot was restored. */
  readonly changes: Stream<void>;
  private readonly entries = new Map<string, ZoneEvacuation>();
  private lastRevision = 0;
  private readonly emit: (value: void) => void;

  constructor() {
    [this.emit, this.changes] = createAdapter<void>();
  }

  /** Entries of all zones that were ever evacuated, tombstones included. */
  all(): Iterable<ZoneEvacuation> {
    return this.entries.values();
  }

  /** Revision of the zone's entry; {@link NO_REVISION} when it has none. */
  revisionOf(zone: string): number {
    return this.entries.get(zone)?.revision ?? NO_REVISION;
  }

  /** Sorted names of the zones whose replicas must not receive new requests. */
  evacuatedZones(): string[] {
    return [...this.entries.values()]
      .filter(({ isEvacuated }) => isEvacuated)
      .map(({ zone }) => zone)
      .sort();
  }

  apply(command: Uint8Array): Uint8Array {
    return outcomeType.encode(this.applyOrder(decodeEvacuationOrder(command)));
  }

  snapshot(): Uint8Array {
    return entryType.encodeAll([...this.entries.values()]);
  }

  restore(snapshot: Uint8Array): void {
    this.entries.clear();
    for (const entry of entryType.decodeAll(asBuffer(snapshot), MAXIMUM_ZONES)) {
      this.entries.set(entry.zone, entry);
    }
    this.lastRevision = Math.max(0, ...[...this.entries.values()].map(({ revision }) => revision));
    this.emit();
  }

  /**
   * A conditional order raises the revision even if it changes nothing else: a late copy of an earlier order
   * must not be carried out after it.
   */
  private applyOrder(order: EvacuationOrder | ConditionalEvacuationOrder): EvacuationOutcome {
    const { zone, isEvacuated } = order;
    const revision = this.revisionOf(zone);
    const isConditional = 'expectedRevision' in order;
    if (isConditional && order.expectedRevision !== revision) {
      return { status: EvacuationOrderStatus.Superseded, revision };
    }
    const isUnchanged = (this.entries.get(zone)?.isEvacuated ?? false) === isEvacuated;
    const isFull = revision === NO_REVISION && this.entries.size >= MAXIMUM_ZONES;
    if (isUnchanged && (!isConditional || isFull)) {
      return { status: EvacuationOrderStatus.Unchanged, revision };
    }
    if (isFull) return { status: EvacuationOrderStatus.Refused, revision };
    this.lastRevision += 1;
    this.entries.set(zone, { zone, isEvacuated, revision: this.lastRevision });
    this.emit();
    const status = isUnchanged ? EvacuationOrderStatus.Unchanged : EvacuationOrderStatus.Changed;
    return { status, revision: this.lastRevision };
  }
}
