/**
 * The newest sign of each replica, as one controller knows it. What a back end
 * says of itself (draining, a new incarnation) and what the platform says holds
 * everywhere. That a router finds a replica gone holds for its zone alone,
 * since the cause may be the zone's own cut.
 */
import { supersedes, type ReplicaSign } from '../model/replica-sign.js';
import { NO_CONTROL_STREAM_FAULTS, type ControlStreamFaults } from './control-stream-faults.js';
import { toSignMessage } from './sign-message.js';
import { STREAM_CODEC } from './stream-messages.js';
import { VersionedTable } from './versioned-table.js';

/** `observedBy` of signs from the platform's list. */
export const PLATFORM_OBSERVER = 'platform';

/** Scope of signs that hold in every zone. */
export const EVERYWHERE = '';

/** Most replicas and zones whose signs are kept. */
const MAXIMUM_ENTRIES = 100_000;

/** A sign and the zone it holds for. */
export interface ScopedSign {
  /** A zone, or {@link EVERYWHERE}. */
  readonly scope: string;
  readonly sign: ReplicaSign;
}

interface BoardEntry extends ScopedSign {
  /** The sign's message, encoded once for all subscribers. */
  readonly bytes: Uint8Array;
}

/** Where a sign observed in `zone` holds. */
export function scopeOf(sign: ReplicaSign, zone: string): string {
  const inferred = sign.state === 'gone' && sign.observedBy !== PLATFORM_OBSERVER;
  return inferred ? zone : EVERYWHERE;
}

/** Signs by scope and replica. */
export class SignBoard {
  private readonly table = new VersionedTable<BoardEntry>(MAXIMUM_ENTRIES);

  constructor(private readonly faults: ControlStreamFaults = NO_CONTROL_STREAM_FAULTS) {}

  get position(): number {
    return this.table.position;
  }

  /** Returns whether the sign is news. An older one never replaces a newer one. */
  record({ scope, sign }: ScopedSign): boolean {
    if (this.isKnown(scope, sign) || this.isKnown(EVERYWHERE, sign)) return false;
    const bytes = STREAM_CODEC.encode(toSignMessage(sign));
    this.table.put(`${scope}/${sign.replicaId}`, { scope, sign, bytes });
    return true;
  }

  /** Signs changed after `position`, for another controller. */
  changedAfter(position: number): readonly ScopedSign[] {
    return this.table.changedAfter(position);
  }

  /** Signs changed after `position` that hold in `zone`, as one frame. */
  frameAfter(position: number, zone: string): Uint8Array | undefined {
    const changed = this.table
      .changedAfter(position)
      .filter(({ scope }) => scope === EVERYWHERE || scope === zone);
    if (changed.length === 0) return undefined;
    return Buffer.concat(changed.map(({ bytes }) => bytes));
  }

  private isKnown(scope: string, sign: ReplicaSign): boolean {
    if (this.faults.acceptOlderSigns === true) return false;
    const known = this.table.get(`${scope}/${sign.replicaId}`)?.sign;
    return known !== undefined && !supersedes(sign, known);
  }
}
