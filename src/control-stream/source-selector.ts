/**
 * Chooses the controller a daemon follows next: one of its own zone if it can,
 * any other otherwise, each with its own jittered back-off after a failure.
 */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import type { RandomSource } from '../seams/random-source.js';
import type { SessionEnd } from './session-end.js';
import { INITIAL_BACK_OFF_MS, MAXIMUM_BACK_OFF_MS, RETURN_AFTER_MS } from './stream-timing.js';

/** Where to connect, when, and whether a stale source is better than none. */
export interface SourceChoice {
  readonly endpoint: ControllerEndpoint;
  readonly waitMs: number;
  readonly tolerateStale: boolean;
}

interface Candidate {
  readonly endpoint: ControllerEndpoint;
  failures: number;
  retryAt: number;
  lastEnd: SessionEnd | undefined;
}

function shuffle<T>(items: readonly T[], random: RandomSource): T[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = random.nextInteger(0, last);
    [shuffled[last], shuffled[other]] = [shuffled[other] as T, shuffled[last] as T];
  }
  return shuffled;
}

/** Keeps the record of one daemon's controllers. */
export class SourceSelector {
  private readonly candidates: readonly Candidate[];

  constructor(
    endpoints: readonly ControllerEndpoint[],
    private readonly zone: string,
    private readonly random: RandomSource,
  ) {
    const own = endpoints.filter((endpoint) => endpoint.zone === zone);
    const others = endpoints.filter((endpoint) => endpoint.zone !== zone);
    // Shuffled, so that the daemons of a zone spread over its controllers.
    this.candidates = [...shuffle(own, random), ...shuffle(others, random)].map((endpoint) => ({
      endpoint,
      failures: 0,
      retryAt: 0,
      lastEnd: undefined,
    }));
  }

  /** Controllers a daemon that follows `endpoint` would rather follow. */
  preferredOver(endpoint: ControllerEndpoint): ControllerEndpoint[] {
    if (endpoint.zone === this.zone) return [];
    return this.candidates
      .map((candidate) => candidate.endpoint)
      .filter((other) => other.zone === this.zone);
  }

  /** `holdsConfiguration`: only then is a stale source better than none. */
  next(now: number, holdsConfiguration: boolean): SourceChoice {
    const ready = this.candidates.find((candidate) => candidate.retryAt <= now);
    if (ready !== undefined) {
      return { endpoint: ready.endpoint, waitMs: 0, tolerateStale: false };
    }
    const stale = this.candidates.find((candidate) => candidate.lastEnd === 'cut_off');
    if (stale !== undefined && holdsConfiguration) {
      return { endpoint: stale.endpoint, waitMs: 0, tolerateStale: true };
    }
    const soonest = this.candidates.reduce((left, right) =>
      right.retryAt < left.retryAt ? right : left,
    );
    return { endpoint: soonest.endpoint, waitMs: soonest.retryAt - now, tolerateStale: false };
  }

  /** Notes how a session of `durationMs` ended. */
  record(endpoint: ControllerEndpoint, end: SessionEnd, durationMs: number, now: number): void {
    const candidate = this.candidateOf(endpoint);
    if (candidate === undefined) return;
    candidate.lastEnd = end;
    if (end === 'superseded' || end === 'returned') return;
    // A session that held for a while shows that the earlier failures are over.
    const failuresBefore = durationMs > RETURN_AFTER_MS ? 0 : candidate.failures;
    candidate.failures = failuresBefore + 1;
    candidate.retryAt = now + this.backOff(candidate.failures);
  }

  /** The endpoint has shown itself healthy: it is tried first again. */
  recordHealthy(endpoint: ControllerEndpoint): void {
    const candidate = this.candidateOf(endpoint);
    if (candidate === undefined) return;
    candidate.failures = 0;
    candidate.retryAt = 0;
    candidate.lastEnd = undefined;
  }

  /** Full jitter above one half, so that daemons that lost a source together come back spread. */
  private backOff(failures: number): number {
    const longest = Math.min(MAXIMUM_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** (failures - 1));
    return longest * (0.5 + this.random.nextFloat() / 2);
  }

  private candidateOf(endpoint: ControllerEndpoint): Candidate | undefined {
    return this.candidates.find((candidate) => candidate.endpoint.memberId === endpoint.memberId);
  }
}
