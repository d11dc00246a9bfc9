/**
 * Replicated register of evacuated zones. It is a section of the replicated state machine, so
 * every controller holds the same entries, as durable as the route document. A zone whose
 * evacuation has ended stays as a tombstone with the revision of the end, by which gateways
 * recognize older messages about the zone.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { MessageType } from '../consensus/message-type.js';
import type { StateMachine } from '../consensus/replicated-log.js';
import type { ZoneEvacuation } from './zone-evacuation.js';

/** Maximum number of zones in the register, tombstones included; a deployment has far fewer. */
const MAXIMUM_ZONES = 1_000;

const orderType = new MessageType('EvacuationOrder', { zone: 'string', isEvacuated: 'boolean' });

const entryType = new MessageType('ZoneEvacuation', {
  zone: 'string',
  isEvacuated: 'boolean',
  revision: 'long',
});

const outcomeType = new MessageType('EvacuationOutcome', {
  status: 'string',
  revision: 'long',
});

/** Desired state of a zone. */
export type EvacuationOrder = Pick<ZoneEvacuation, 'zone' | 'isEvacuated'>;

/** Effect of an order. */
export enum EvacuationOrderStatus {
  Changed = 'changed',
  /** The zone already was in the desired state, as after a repeated order. */
  Unchanged = 'unchanged',
  /** The register is full; nothing was changed. */
  Refused = 'refused',
}

/** Result of an order. */
export interface EvacuationOutcome {
  readonly status: EvacuationOrderStatus;
  /** Revision of the zone's entry after the order; 0 when it has none. */
  readonly revision: number;
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Encodes the command that submits `order`. */
export function encodeEvacuationOrder(order: EvacuationOrder): Uint8Array {
  return orderType.encode(order);
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

  /** Sorted names of the zones whose replicas must not receive new requests. */
  evacuatedZones(): string[] {
    return [...this.entries.values()]
      .filter(({ isEvacuated }) => isEvacuated)
      .map(({ zone }) => zone)
      .sort();
  }

  apply(command: Uint8Array): Uint8Array {
    return outcomeType.encode(this.applyOrder(orderType.decode(asBuffer(command))));
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

  private applyOrder({ zone, isEvacuated }: EvacuationOrder): EvacuationOutcome {
    const known = this.entries.get(zone);
    if ((known?.isEvacuated ?? false) === isEvacuated) {
      return { status: EvacuationOrderStatus.Unchanged, revision: known?.revision ?? 0 };
    }
    if (known === undefined && this.entries.size >= MAXIMUM_ZONES) {
      return { status: EvacuationOrderStatus.Refused, revision: 0 };
    }
    this.lastRevision += 1;
    this.entries.set(zone, { zone, isEvacuated, revision: this.lastRevision });
    this.emit();
    return { status: EvacuationOrderStatus.Changed, revision: this.lastRevision };
  }
}
