/** Collects what the stand-in back ends of one process saw and did. */
import type { Clock } from '../../src/seams/clock.js';
import type { BackendEvent, BackendEventKind } from './backend-event.js';
import type { BackendLedgerEntry, BackendOutcome } from './backend-ledger-entry.js';

/** The facts of a request when it arrives. */
export type ReceivedRequest = Pick<
  BackendLedgerEntry,
  'requestId' | 'attemptId' | 'service' | 'shardId' | 'snapshot' | 'queryDigest' | 'repeatable'
>;

/** An entry as the ledger keeps it while the request is open. */
type MutableEntry = { -readonly [Key in keyof BackendLedgerEntry]: BackendLedgerEntry[Key] } & {
  faults: string[];
};

/** Writes one request's entry. */
export class BackendLedgerRecord {
  constructor(
    private readonly clock: Pick<Clock, 'wallTime'>,
    private readonly entry: MutableEntry,
  ) {}

  get started(): boolean {
    return this.entry.startedAt !== undefined;
  }

  /** Notes that work began, which can no longer be called not run. */
  start(): void {
    this.entry.startedAt = this.clock.wallTime();
  }

  /** Notes the end; a second call changes nothing. */
  end(outcome: Exclude<BackendOutcome, 'open'>, resultDigest?: string): void {
    if (this.entry.outcome !== 'open') return;
    this.entry.outcome = outcome;
    this.entry.endedAt = this.clock.wallTime();
    if (resultDigest !== undefined) this.entry.resultDigest = resultDigest;
  }

  addFault(kind: string): void {
    this.entry.faults.push(kind);
  }
}

/** Ledger of any number of back ends; grows for as long as they run. */
export class BackendLedger {
  private readonly recorded: BackendLedgerEntry[] = [];
  private readonly recordedEvents: BackendEvent[] = [];

  constructor(private readonly clock: Pick<Clock, 'wallTime'>) {}

  get entries(): readonly BackendLedgerEntry[] {
    return this.recorded;
  }

  get events(): readonly BackendEvent[] {
    return this.recordedEvents;
  }

  /** Opens the entry of a request that has arrived. */
  receive(replicaId: string, incarnation: number, request: ReceivedRequest): BackendLedgerRecord {
    const entry: MutableEntry = {
      replicaId,
      incarnation,
      requestId: request.requestId,
      attemptId: request.attemptId,
      service: request.service,
      shardId: request.shardId,
      snapshot: request.snapshot,
      queryDigest: request.queryDigest,
      repeatable: request.repeatable,
      receivedAt: this.clock.wallTime(),
      outcome: 'open',
      faults: [],
    };
    this.recorded.push(entry);
    return new BackendLedgerRecord(this.clock, entry);
  }

  recordEvent(replicaId: string, incarnation: number, kind: BackendEventKind): void {
    this.recordedEvents.push({ replicaId, incarnation, kind, at: this.clock.wallTime() });
  }
}
