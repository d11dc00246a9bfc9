/**
 * Selects the controller that a daemon follows next: one of its own zone if
 * possible, otherwise any other. Each has its own jittered back-off after a
 * failure.
 */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import type { RandomSource } from '../seams/random-source.js';
import type { SessionEnd } from './session-end.js';
import { INITIAL_BACK_OFF_MS, MAXIMUM_BACK_OFF_MS, RETURN_AFTER_MS } from './stream-timing.js';

/** The controller to connect to next, after which wait, and whether a stale one is tolerated. */
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

/** Tracks the failures and back-off of one daemon's controllers. */
export class SourceSelector {
  private readonly candidates: readonly Candidate[];

  constructor(
    endpoints: readonly ControllerEndpoint[],
    private readonly zone: string,
    private readonly random: RandomSource,
  ) {
    const own = endpoints.filter((endpoint) => endpoint.zone === zone);
    const others = endpoints.filter((endpoint) => endpoint.zone !== zone);
    // Shuffling spreads the daemons of a zone over its controllers.
    this.candidates = [...shuffle(own, random), ...shuffle(others, random)].map((endpoint) => ({
      endpoint,
      failures: 0,
      retryAt: 0,
      lastEnd: undefined,
    }));
  }

  /** The controllers of the daemon's own zone; empty if `endpoint` is one of them. */
  preferredOver(endpoint: ControllerEndpoint): ControllerEndpoint[] {
    if (endpoint.zone === this.zone) return [];
    return this.candidates
      .map((candidate) => candidate.endpoint)
      .filter((other) => other.zone === this.zone);
  }

  /**
   * Selects the first controller that is not in back-off. If all are, selects
   * one that lacked a quorum, provided that the daemon `holdsConfiguration`
   * (only then is a stale source better than none), otherwise the one whose
   * back-off ends first.
   */
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

  /** Records why a session ended that lasted `durationMs`. */
  record(endpoint: ControllerEndpoint, end: SessionEnd, durationMs: number, now: number): void {
    const candidate = this.candidateOf(endpoint);
    if (candidate === undefined) return;
    candidate.lastEnd = end;
    if (end === 'superseded' || end === 'returned') return;
    // After a session this long, earlier failures no longer count.
    const failuresBefore = durationMs > RETURN_AFTER_MS ? 0 : candidate.failures;
    candidate.failures = failuresBefore + 1;
    candidate.retryAt = now + this.backOff(candidate.failures);
  }

  /**
   * Resets the back-off of a controller that a probe found healthy, so that it is
   * tried before the controllers of other zones again.
   */
  recordHealthy(endpoint: ControllerEndpoint): void {
    const candidate = this.candidateOf(endpoint);
    if (candidate === undefined) return;
    candidate.failures = 0;
    candidate.retryAt = 0;
    candidate.lastEnd = undefined;
  }

  /**
   * Jitter between half and the full delay spreads daemons that lost the same
   * source. Milliseconds.
   */
  private backOff(failures: number): number {
    const longest = Math.min(MAXIMUM_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** (failures - 1));
    return longest * (0.5 + this.random.nextFloat() / 2);
  }

  private candidateOf(endpoint: ControllerEndpoint): Candidate | undefined {
    return this.candidates.find((candidate) => candidate.endpoint.memberId === endpoint.memberId);
  }
}
