/**
 * How long before a route's target a merged answer has to leave to arrive within it.
 * A process that is short of processor time runs its timers late, and reads a request
 * some time after it came; how late its timers ran lately stands for both.
 */
import { LatencyDigest } from '../policies/latency-digest.js';

/**
 * The time that a request waits to be read, the merge and the way to the caller and back, as
 * most requests have them: of 12, 18 and 24 ms the middle one was best on days with slow
 * replicas, see docs/design/shifted-work.md. Milliseconds.
 */
const FIXED_MARGIN_MS = 18;
/** The margin is at most this part of the target. */
const MAXIMUM_TARGET_FRACTION = 0.3;
/** Timers that are remembered: the load of a process changes within seconds. */
const LAG_WINDOW_SAMPLES = 60;
/** An answer that is late is worth a tenth; a part that is left out a few hundredths. */
const LAG_QUANTILE = 0.9;
const REFRESH_INTERVAL_SAMPLES = 6;

/** See the module comment. Milliseconds. */
export class AnswerMargin {
  private readonly lags = new LatencyDigest(LAG_WINDOW_SAMPLES);
  private sinceRefresh = 0;
  private timerLag = 0;

  constructor(
    /** Whether the lateness of timers is added. */
    private readonly learnsLag: boolean,
  ) {}

  /** A timer ran `lag` after it was due. */
  recordTimerLag(lag: number): void {
    if (!this.learnsLag) return;
    this.lags.addReply(Math.max(0, lag));
    this.sinceRefresh += 1;
    if (this.sinceRefresh < REFRESH_INTERVAL_SAMPLES) return;
    this.sinceRefresh = 0;
    this.timerLag = this.lags.quantile(LAG_QUANTILE);
  }

  /** By how much timers run late here, in nine of ten cases at most. */
  get lag(): number {
    return this.timerLag;
  }

  /** Longest time from a request until an answer that is good enough leaves. */
  cutOffDelay(targetLatency: number): number {
    return (
      targetLatency -
      Math.min(FIXED_MARGIN_MS + this.timerLag, targetLatency * MAXIMUM_TARGET_FRACTION)
    );
  }
}
