/**
 * The replicated register of evacuated zones. A state machine section, so every
 * controller holds the same, as durable as the route document. Zones whose
 * evacuation has ended are remembered with the revision of the end, so that older
 * word of it can be told.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { MessageType } from '../consensus/message-type.js';
import type { StateMachine } from '../consensus/replicated-log.js';
import type { ZoneEvacuation } from './zone-evacuation.js';

/** Zones that are remembered; a deployment has far fewer. */
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

/** What is to hold for a zone from now on. */
export type EvacuationOrder = Pick<ZoneEvacuation, 'zone' | 'isEvacuated'>;

/** What an order did. */
export enum EvacuationOrderStatus {
  Changed = 'changed',
  /** It held already: the order was sent before. */
  Unchanged = 'unchanged',
  /** Too many zones are remembered; nothing was changed. */
  Refused = 'refused',
}

/** What became of an order. */
export interface EvacuationOutcome {
  readonly status: EvacuationOrderStatus;
  /** Of the zone after the order. */
  readonly revision: number;
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** The bytes of a command that gives `order`. */
export function encodeEvacuationOrder(order: EvacuationOrder): Uint8Array {
  return orderType.encode(order);
}

/** Reads what {@link EvacuationRegister.apply} returned. */
export function decodeEvacuationOutcome(result: Uint8Array): EvacuationOutcome {
  const { status, revision } = outcomeType.decode(asBuffer(result));
  return { status: status as EvacuationOrderStatus, revision };
}

/** See the module comment. */
export class EvacuationRegister implements StateMachine {
  /** Emits after each change. */
  readonly changes: Stream<void>;
  private readonly entries = new Map<string, ZoneEvacuation>();
  private lastRevision = 0;
  private readonly emit: (value: void) => void;

  constructor() {
    [this.emit, this.changes] = createAdapter<void>();
  }

  /** Every zone that was ever evacuated. */
  all(): Iterable<ZoneEvacuation> {
    return this.entries.values();
  }

  /** Names of the zones to which nothing new is to go, in order. */
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
