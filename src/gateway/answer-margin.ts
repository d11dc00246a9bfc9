/**
 * Computes how long before a route's target latency a merged answer is sent, so that it arrives in
 * time. A process short of CPU time fires its timers late and reads requests late; recent timer lag
 * is the estimate for both delays.
 */
import { RecentSamples } from './recent-samples.js';

/**
 * Typical time for reading the request, merging, and the network round trip to the caller. With
 * slow replicas, 12 and 24 ms gave worse results; see docs/design/shifted-work.md.
 */
const FIXED_MARGIN_MS = 18;
/**
 * Upper bound of the margin, as a fraction of the target latency. Targets of 50 to 60 ms must leave
 * room for the fixed margin and some lag; 0.3 did not.
 */
const MAXIMUM_TARGET_FRACTION = 0.5;
/** Of a few seconds, see `timer-lag-probe.ts`, as the load of a process changes within seconds. */
const LAG_WINDOW_SAMPLES = 20;
/** High, because a late answer loses 90 % of its value, but a missing part only a few percent. */
const LAG_QUANTILE = 0.9;
const TYPICAL_LAG_QUANTILE = 0.5;
const REFRESH_INTERVAL_SAMPLES = 3;

/** Margin of one gateway process. Durations are milliseconds. */
export class AnswerMargin {
  private readonly lags = new RecentSamples(LAG_WINDOW_SAMPLES);
  private sinceRefresh = 0;
  private timerLag = 0;
  private medianTimerLag = 0;

  constructor(
    /** Whether timer lag is added to the fixed margin. */
    private readonly learnsLag: boolean,
  ) {}

  /** Records that a timer fired `lag` after it was due. */
  recordTimerLag(lag: number): void {
    if (!this.learnsLag) return;
    this.lags.add(Math.max(0, lag));
    this.sinceRefresh += 1;
    if (this.sinceRefresh < REFRESH_INTERVAL_SAMPLES) return;
    this.sinceRefresh = 0;
    this.timerLag = this.lags.quantile(LAG_QUANTILE);
    this.medianTimerLag = this.lags.quantile(TYPICAL_LAG_QUANTILE);
  }

  /** 90th percentile of recent timer lag; 0 until enough timers have fired. */
  get lag(): number {
    return this.timerLag;
  }

  /**
   * Median of recent timer lag, for work of which one late part of many costs little: pauses that are
   * rare, such as collections of the heap, hardly change it. 0 until enough timers have fired.
   */
  get typicalLag(): number {
    return this.medianTimerLag;
  }

  /** Latest time after a request's receipt at which an answer with sufficient coverage is sent. */
  cutOffDelay(targetLatency: number): number {
    return (
      targetLatency -
      Math.min(FIXED_MARGIN_MS + this.timerLag, targetLatency * MAXIMUM_TARGET_FRACTION)
    );
  }
}
