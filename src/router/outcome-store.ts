/**
 * Outcomes of not repeatable requests, so that a resend is given the outcome of
 * the first request and not run again. What is promised, and for how long, is
 * in docs/design/at-most-once.md.
 */
import { xxh3 } from '@node-rs/xxhash';
import type { Clock } from '../seams/clock.js';
import type { FinishedQuery } from './finished-query.js';
import { badRequest, QueryError, refusedNotRun } from './query-error.js';
import type { ParsedQuery } from './query-parser.js';

/** A request id is remembered at least this long after its receipt. Milliseconds. */
export const REQUEST_ID_RETENTION_MS = 3_600_000;
/** Ids remembered for each outcome kept whole; an id alone takes about 200 bytes. */
export const REQUEST_IDS_PER_OUTCOME = 10;
/** Bodies of all outcomes kept together. Bytes. */
export const MAXIMUM_OUTCOME_BYTES = 268_435_456;

/** Bounds of one ledger. */
export interface OutcomeStoreLimits {
  /** Outcomes kept whole. */
  readonly outcomes: number;
  /** Request ids remembered, with or without their outcome. */
  readonly requestIds: number;
  /** Bytes. */
  readonly bytes: number;
}

interface OutcomeEntry {
  readonly fingerprint: bigint;
  readonly receivedAt: number;
  /** Undefined once evicted: the id is known, its outcome no longer. */
  outcome: Promise<FinishedQuery> | undefined;
  /** Size of the finished outcome's body; undefined while it runs. */
  bytes: number | undefined;
}

/** What of a request has to be the same in a resend; its deadline may differ. */
function fingerprintOf({ request, queryText }: ParsedQuery): bigint {
  const { team, key = null, requiredCoverage = null } = request;
  return xxh3.xxh128(JSON.stringify([team, key, requiredCoverage, queryText]));
}

/** The ledger of one run of one router. */
export class OutcomeStore {
  /** In order of receipt. */
  private readonly entries = new Map<string, OutcomeEntry>();
  /** Keys of finished outcomes that are kept whole, in order of finishing. */
  private readonly storedKeys = new Set<string>();
  private storedBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: OutcomeStoreLimits,
  ) {}

  /**
   * The outcome of an earlier request with the same id, or undefined when there
   * is none. Also to be asked of repeatable requests, whose id may be in use.
   *
   * @throws QueryError of code `bad_request` when the id belongs to a different
   *   request, and `outcome_unknown` when the outcome is no longer kept.
   */
  find(service: string, query: ParsedQuery): Promise<FinishedQuery> | undefined {
    this.removeExpired();
    const entry = this.entries.get(keyOf(service, query));
    if (entry === undefined) return undefined;
    if (query.request.repeatable || entry.fingerprint !== fingerprintOf(query)) {
      throw badRequest('another request with this id was received before', 'requestId');
    }
    if (entry.outcome !== undefined) return entry.outcome;
    const message = 'this request was received before and its outcome is no longer kept';
    throw new QueryError('outcome_unknown', 504, message, true, {}, { step: 'find outcome' });
  }

  /**
   * Runs a request that {@link find} did not know, and keeps its outcome.
   * A refusal that says "not run" is not kept: the request may be sent again.
   *
   * @throws QueryError of code `refused_not_run` when no further id can be remembered.
   */
  async run(
    service: string,
    query: ParsedQuery,
    execute: () => Promise<FinishedQuery>,
  ): Promise<FinishedQuery> {
    this.refuseIfFull();
    const key = keyOf(service, query);
    const outcome = execute();
    const entry: OutcomeEntry = {
      fingerprint: fingerprintOf(query),
      receivedAt: this.clock.now(),
      outcome,
      bytes: undefined,
    };
    this.entries.set(key, entry);
    const finished = await outcome;
    if (finished.mayHaveRun) this.storeOutcome(key, entry, finished);
    else this.entries.delete(key);
    return finished;
  }

  private storeOutcome(key: string, entry: OutcomeEntry, finished: FinishedQuery): void {
    entry.bytes = Buffer.byteLength(finished.response.body);
    this.storedBytes += entry.bytes;
    this.storedKeys.add(key);
    for (const oldest of this.storedKeys) {
      const fits =
        this.storedKeys.size <= this.limits.outcomes && this.storedBytes <= this.limits.bytes;
      if (fits) return;
      this.evictOutcome(oldest);
    }
  }

  private evictOutcome(key: string): void {
    const entry = this.entries.get(key);
    if (entry === undefined || !this.storedKeys.delete(key)) return;
    this.storedBytes -= entry.bytes ?? 0;
    entry.outcome = undefined;
  }

  private removeExpired(): void {
    const expiryTime = this.clock.now() - REQUEST_ID_RETENTION_MS;
    for (const [key, entry] of this.entries) {
      if (entry.receivedAt > expiryTime) return;
      if (entry.outcome !== undefined && entry.bytes === undefined) return;
      this.evictOutcome(key);
      this.entries.delete(key);
    }
  }

  private refuseIfFull(): void {
    const [oldest] = this.entries.values();
    if (this.entries.size < this.limits.requestIds || oldest === undefined) return;
    const retryAfter = Math.max(1, oldest.receivedAt + REQUEST_ID_RETENTION_MS - this.clock.now());
    throw refusedNotRun('no further not repeatable request can be remembered', retryAfter);
  }
}

function keyOf(service: string, { request }: ParsedQuery): string {
  return `${service}/${request.requestId}`;
}
