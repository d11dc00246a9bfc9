/**
 * The replicated register of requests with which replicas terminated. A section of the state
 * machine: every controller has the same entries, and they survive a power loss of all
 * controllers. Bounded: the entry whose last change is the oldest is evicted first,
 * and quarantined entries last.
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

/** Kinds of {@link QuarantineChange}. */
export enum QuarantineChangeKind {
  /** Replicas terminated with the request in flight. */
  Evidence = 'evidence',
  /** A replica answered the request. */
  Answer = 'answer',
  /** An operator lifts the quarantine or the suspicion of the request; written by earlier versions. */
  Lift = 'lift',
  /** As `Lift`, while the entry has {@link QuarantineChange.expectedRevision}. */
  ConditionalLift = 'conditionalLift',
  /** A gateway requests the grant to run a trial of the request. */
  Trial = 'trial',
  /** A gateway gives the grant back. */
  TrialEnd = 'trialEnd',
}

/** One change of the register. */
export interface QuarantineChange extends CrashEvidence {
  readonly kind: QuarantineChangeKind;
  /** Holder that requests the grant or gives it back; empty for kinds other than `Trial` and `TrialEnd`. */
  readonly holder: string;
  /** Holder that timed out and may be replaced; empty when there is none. */
  readonly replaces: string;
  /** Revision of the entry that a `ConditionalLift` follows; absent for other kinds. */
  readonly expectedRevision?: number;
}

/** Fields of a change that carries no evidence and concerns no grant. */
export const NO_EVIDENCE = {
  description: '',
  ended: [],
  endedInTrial: [],
  holder: '',
  replaces: '',
} as const;

/**
 * Whether a change goes before others. Only evidence from outside of trials does not: where trials
 * are enabled it quarantines no request by itself.
 */
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

/** Encodes replica ids as one string; ids contain no line breaks, since they are parts of URL paths. */
export function joinIds(ids: readonly string[]): string {
  return ids.join(REPLICA_SEPARATOR);
}

/** Decodes the result of {@link joinIds}. */
export function splitIds(text: string): string[] {
  return text === '' ? [] : text.split(REPLICA_SEPARATOR);
}

/**
 * Encodes a command that applies the changes in order. An expected revision takes the place of `replaces`, so
 * that the stored form is that of earlier versions.
 */
export function encodeQuarantineChanges(changes: readonly QuarantineChange[]): Uint8Array {
  return changeType.encodeAll(
    changes.map(({ ended, endedInTrial, expectedRevision, ...change }) => ({
      ...change,
      replaces: expectedRevision === undefined ? change.replaces : String(expectedRevision),
      ended: joinIds(ended),
      endedInTrial: joinIds(endedInTrial),
    })),
  );
}

/** Decodes the result of {@link QuarantineRegister.apply}: the number of changes that had an effect. */
export function decodeQuarantineOutcome(result: Uint8Array): number {
  return outcomeType.decode(asBuffer(result)).changed;
}

/** Deterministic: the same commands in the same order give the same entries on every controller. */
export class QuarantineRegister implements StateMachine {
  /** Emits after each command that changed an entry, and after {@link QuarantineRegister.restore}. */
  readonly changes: Stream<void>;
  /** By fingerprint, in the order of their last changes. */
  private entries = new Map<string, QuarantineEntry>();
  /** For subscribers, each of which keeps the position up to which it has read. */
  private readonly table = new VersionedTable<QuarantineEntry>(MAXIMUM_ENTRIES + 1);
  private lastRevision = 0;
  private readonly emit: (value: void) => void;

  constructor() {
    [this.emit, this.changes] = createAdapter<void>();
  }

  /** Position of the latest change, for {@link QuarantineRegister.changedAfter}. */
  get position(): number {
    return this.table.position;
  }

  changedAfter(position: number): QuarantineEntry[] {
    return this.table.changedAfter(position);
  }

  find(fingerprint: string): QuarantineEntry | undefined {
    return this.entries.get(fingerprint);
  }

  /** All entries, the latest changed last. */
  all(): QuarantineEntry[] {
    return [...this.entries.values()];
  }

  /** Whether the change would have an effect; most repeated reports have none and need no proposal. */
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
      const next = this.entryAfter(change);
      if (next === undefined) continue;
      this.put(next);
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

  /** The entry after a change, without its revision; undefined when the change has no effect. */
  private entryAfter(change: QuarantineChange): Omit<QuarantineEntry, 'revision'> | undefined {
    const known = this.entries.get(change.fingerprint);
    switch (change.kind) {
      case QuarantineChangeKind.Evidence:
        return this.entryAfterEvidence(change, known);
      case QuarantineChangeKind.Answer:
        return this.entryAfterClearing(known, QuarantineState.Answered);
      case QuarantineChangeKind.Lift:
        return this.entryAfterClearing(known, QuarantineState.Lifted);
      case QuarantineChangeKind.ConditionalLift:
        if (String(known?.revision) !== change.replaces) return undefined;
        return this.entryAfterClearing(known, QuarantineState.Lifted);
      case QuarantineChangeKind.Trial:
        return this.entryAfterTrialRequest(change, known);
      case QuarantineChangeKind.TrialEnd:
        return this.entryAfterTrialEnd(change, known);
      default:
        // A kind of a newer version; has no effect in this one.
        return undefined;
    }
  }

  private entryAfterEvidence(
    { fingerprint, description, ended, endedInTrial }: QuarantineChange,
    known: QuarantineEntry | undefined,
  ): Omit<QuarantineEntry, 'revision'> | undefined {
    const isNew = known === undefined || !isActiveState(known.state);
    // Evidence from before the request was answered or lifted does not count when it is reported again.
    const discounted = isNew ? (known?.ended ?? []) : [];
    const before = isNew ? { ended: [], endedInTrial: [], trialHolder: NO_HOLDER } : known;
    const counted = ended.filter((id) => !discounted.includes(id));
    const countedInTrial = endedInTrial.filter((id) => !discounted.includes(id));
    const next = {
      fingerprint,
      description,
      ended: mergeReplicaIds(before.ended, counted),
      endedInTrial: mergeReplicaIds(before.endedInTrial, countedInTrial),
    };
    const hasGrown =
      next.ended.length > before.ended.length ||
      next.endedInTrial.length > before.endedInTrial.length;
    if (!hasGrown) return undefined;
    const isTrialOver = next.endedInTrial.length > before.endedInTrial.length;
    const trialHolder = isTrialOver ? NO_HOLDER : before.trialHolder;
    return {
      ...next,
      trialHolder,
      state: stateFor(next.ended.length, next.endedInTrial.length),
    };
  }

  /** Gives the grant to one holder at a time; the holder that `replaces` names loses it. */
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
    // Deletes first, so that the map stays in the order of the changes.
    this.entries.delete(entry.fingerprint);
    this.entries.set(entry.fingerprint, entry);
    this.table.put(entry.fingerprint, entry);
    if (this.entries.size > MAXIMUM_ENTRIES) this.evictOldest();
  }

  private evictOldest(): void {
    const entries = this.all();
    const isQuarantined = ({ state }: QuarantineEntry): boolean =>
      state === QuarantineState.Quarantined;
    const oldest = entries.find((entry) => !isQuarantined(entry)) ?? entries[0];
    if (oldest === undefined) return;
    this.entries.delete(oldest.fingerprint);
    this.table.remove(oldest.fingerprint);
  }
}
