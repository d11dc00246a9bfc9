/**
 * The replicated register of requests under which replicas ended. A state machine section:
 * every controller holds the same, and it outlives the loss of all power. Bounded: the entry
 * unchanged for longest goes first, and quarantined ones go last.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { MessageType } from '../consensus/message-type.js';
import type { StateMachine } from '../consensus/replicated-log.js';
import { VersionedTable } from '../control-stream/versioned-table.js';
import {
  MAXIMUM_ENTRIES,
  QuarantineState,
  isActiveState,
  mergeReplicaIds,
  stateFor,
  type CrashEvidence,
  type QuarantineEntry,
} from './quarantine-entry.js';

/** Most changes of one command. */
export const MAXIMUM_CHANGES_PER_COMMAND = 64;

/** What a change says. */
export enum QuarantineChangeKind {
  /** Replicas ended under the request. */
  Evidence = 'evidence',
  /** A replica answered it. */
  Answer = 'answer',
  /** An operator wants it to be sent again. */
  Lift = 'lift',
  /** A gateway wants to try it. */
  Trial = 'trial',
  /** That trial is over. */
  TrialEnd = 'trialEnd',
}

/** One change of the register. */
export interface QuarantineChange extends CrashEvidence {
  readonly kind: QuarantineChangeKind;
  /** Who wants to try the request, or did; empty in other changes. */
  readonly holder: string;
  /** The holder that is not heard of any more, whom it may follow; empty when there is none. */
  readonly replaces: string;
}

/** What a change that tells of no replica says of them, and of no trial. */
export const NO_EVIDENCE = {
  description: '',
  ended: [],
  endedInTrial: [],
  holder: '',
  replaces: '',
} as const;

/** Whether it goes before others: only losses outside of trials decide nothing by themselves. */
export function isUrgent({ kind, endedInTrial }: QuarantineChange): boolean {
  return kind !== QuarantineChangeKind.Evidence || endedInTrial.length > 0;
}

const NO_HOLDER = '';
const REPLICA_SEPARATOR = '\n';

const changeType = new MessageType('QuarantineChange', {
  kind: 'string',
  fingerprint: 'string',
  description: 'string',
  ended: 'string',
  endedInTrial: 'string',
  holder: 'string',
  replaces: 'string',
});

const entryType = new MessageType('QuarantineEntry', {
  state: 'string',
  revision: 'long',
  trialHolder: 'string',
  fingerprint: 'string',
  description: 'string',
  ended: 'string',
  endedInTrial: 'string',
});

const outcomeType = new MessageType('QuarantineOutcome', { changed: 'long' });

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Replica ids as one text; ids hold no line breaks, as they are parts of paths. */
export function joinIds(ids: readonly string[]): string {
  return ids.join(REPLICA_SEPARATOR);
}

/** What {@link joinIds} joined. */
export function splitIds(text: string): string[] {
  return text === '' ? [] : text.split(REPLICA_SEPARATOR);
}

/** The bytes of a command that makes the changes, in their order. */
export function encodeQuarantineChanges(changes: readonly QuarantineChange[]): Uint8Array {
  return changeType.encodeAll(
    changes.map(({ ended, endedInTrial, ...change }) => ({
      ...change,
      ended: joinIds(ended),
      endedInTrial: joinIds(endedInTrial),
    })),
  );
}

/** Reads what {@link QuarantineRegister.apply} returned: entries that were changed. */
export function decodeQuarantineOutcome(result: Uint8Array): number {
  return outcomeType.decode(asBuffer(result)).changed;
}

/** See the module comment. */
export class QuarantineRegister implements StateMachine {
  /** Emits after each change. */
  readonly changes: Stream<void>;
  private entries = new Map<string, QuarantineEntry>();
  /** For subscribers, which each remember how far they have read. */
  private readonly table = new VersionedTable<QuarantineEntry>(MAXIMUM_ENTRIES + 1);
  private lastRevision = 0;
  private readonly emit: (value: void) => void;

  constructor() {
    [this.emit, this.changes] = createAdapter<void>();
  }

  /** Position of the newest change, for {@link QuarantineRegister.changedAfter}. */
  get position(): number {
    return this.table.position;
  }

  changedAfter(position: number): QuarantineEntry[] {
    return this.table.changedAfter(position);
  }

  find(fingerprint: string): QuarantineEntry | undefined {
    return this.entries.get(fingerprint);
  }

  /** All that is remembered, the latest change last. */
  all(): QuarantineEntry[] {
    return [...this.entries.values()];
  }

  /** Whether the change would change anything; most repetitions need not be proposed. */
  wouldChangeEntry(change: QuarantineChange): boolean {
    return this.entryAfter(change) !== undefined;
  }

  apply(command: Uint8Array): Uint8Array {
    let changed = 0;
    for (const stored of changeType.decodeAll(asBuffer(command), MAXIMUM_CHANGES_PER_COMMAND)) {
      const change = {
        ...stored,
        kind: stored.kind as QuarantineChangeKind,
        ended: splitIds(stored.ended),
        endedInTrial: splitIds(stored.endedInTrial),
      };
      const after = this.entryAfter(change);
      if (after === undefined) continue;
      this.put(after);
      changed += 1;
    }
    if (changed > 0) this.emit();
    return outcomeType.encode({ changed });
  }

  snapshot(): Uint8Array {
    const stored = this.all().map(({ ended, endedInTrial, ...entry }) => ({
      ...entry,
      ended: joinIds(ended),
      endedInTrial: joinIds(endedInTrial),
    }));
    return entryType.encodeAll(stored);
  }

  restore(snapshot: Uint8Array): void {
    this.entries = new Map();
    this.lastRevision = 0;
    for (const stored of entryType.decodeAll(asBuffer(snapshot), MAXIMUM_ENTRIES)) {
      const entry = {
        ...stored,
        state: stored.state as QuarantineState,
        ended: splitIds(stored.ended),
        endedInTrial: splitIds(stored.endedInTrial),
      };
      this.entries.set(entry.fingerprint, entry);
      this.table.put(entry.fingerprint, entry);
      this.lastRevision = Math.max(this.lastRevision, entry.revision);
    }
    this.emit();
  }

  /** The entry after a change, without its revision; undefined when nothing changes. */
  private entryAfter(change: QuarantineChange): Omit<QuarantineEntry, 'revision'> | undefined {
    const known = this.entries.get(change.fingerprint);
    switch (change.kind) {
      case QuarantineChangeKind.Evidence:
        return this.entryAfterEvidence(change, known);
      case QuarantineChangeKind.Answer:
        return this.entryAfterClearing(known, QuarantineState.Answered);
      case QuarantineChangeKind.Lift:
        return this.entryAfterClearing(known, QuarantineState.Lifted);
      case QuarantineChangeKind.Trial:
        return this.entryAfterTrialRequest(change, known);
      case QuarantineChangeKind.TrialEnd:
        return this.entryAfterTrialEnd(change, known);
      default:
        // Of a later version: it changes nothing here.
        return undefined;
    }
  }

  private entryAfterEvidence(
    { fingerprint, description, ended, endedInTrial }: QuarantineChange,
    known: QuarantineEntry | undefined,
  ): Omit<QuarantineEntry, 'revision'> | undefined {
    const isNew = known === undefined || !isActiveState(known.state);
    // Told again, what was held against it before its end counts no more.
    const excused = isNew ? (known?.ended ?? []) : [];
    const before = isNew ? { ended: [], endedInTrial: [], trialHolder: NO_HOLDER } : known;
    const fresh = ended.filter((id) => !excused.includes(id));
    const freshInTrial = endedInTrial.filter((id) => !excused.includes(id));
    const after = {
      fingerprint,
      description,
      ended: mergeReplicaIds(before.ended, fresh),
      endedInTrial: mergeReplicaIds(before.endedInTrial, freshInTrial),
    };
    const isMore =
      after.ended.length > before.ended.length ||
      after.endedInTrial.length > before.endedInTrial.length;
    if (!isMore) return undefined;
    const isTrialOver = after.endedInTrial.length > before.endedInTrial.length;
    const trialHolder = isTrialOver ? NO_HOLDER : before.trialHolder;
    return {
      ...after,
      trialHolder,
      state: stateFor(after.ended.length, after.endedInTrial.length),
    };
  }

  /** One holder at a time, unless the one before is not heard of any more. */
  private entryAfterTrialRequest(
    { holder, replaces }: QuarantineChange,
    known: QuarantineEntry | undefined,
  ): Omit<QuarantineEntry, 'revision'> | undefined {
    if (known?.state !== QuarantineState.Suspected || holder === NO_HOLDER) return undefined;
    const isFree = known.trialHolder === NO_HOLDER || known.trialHolder === replaces;
    return isFree && known.trialHolder !== holder ? { ...known, trialHolder: holder } : undefined;
  }

  private entryAfterTrialEnd(
    { holder }: QuarantineChange,
    known: QuarantineEntry | undefined,
  ): Omit<QuarantineEntry, 'revision'> | undefined {
    if (known === undefined || holder === NO_HOLDER || known.trialHolder !== holder) {
      return undefined;
    }
    return { ...known, trialHolder: NO_HOLDER };
  }

  private entryAfterClearing(
    known: QuarantineEntry | undefined,
    state: QuarantineState.Answered | QuarantineState.Lifted,
  ): Omit<QuarantineEntry, 'revision'> | undefined {
    if (known === undefined || !isActiveState(known.state)) return undefined;
    return { ...known, state, trialHolder: NO_HOLDER };
  }

  private put(changed: Omit<QuarantineEntry, 'revision'>): void {
    this.lastRevision += 1;
    const entry = { ...changed, revision: this.lastRevision };
    // Removed first, so that the map stays in the order of the changes.
    this.entries.delete(entry.fingerprint);
    this.entries.set(entry.fingerprint, entry);
    this.table.put(entry.fingerprint, entry);
    if (this.entries.size > MAXIMUM_ENTRIES) this.evictOldest();
  }

  private evictOldest(): void {
    const entries = this.all();
    const isSpared = ({ state }: QuarantineEntry): boolean => state === QuarantineState.Quarantined;
    const oldest = entries.find((entry) => !isSpared(entry)) ?? entries[0];
    if (oldest === undefined) return;
    this.entries.delete(oldest.fingerprint);
    this.table.remove(oldest.fingerprint);
  }
}
