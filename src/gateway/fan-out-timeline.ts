/**
 * When each step of a fan-out happened, for its log line: tells late parts from a late cut-off and
 * from a late answer. Times are milliseconds since the request was received.
 */
import type { LogFields } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';

/** Steps of a fan-out, named as the log fields are. */
export enum FanOutStep {
  /** All sources have sent their first requests. */
  Sent = 'sentMs',
  FirstPart = 'firstPartMs',
  /** Enough shards have answered for an answer with sufficient coverage. */
  Covered = 'coveredMs',
  /** The cut-off was due. */
  CutOffDue = 'cutOffDueMs',
  /** The cut-off timer fired. */
  CutOff = 'cutOffMs',
}

/** Timeline of one fan-out. */
export class FanOutTimeline {
  private readonly reachedAt = new Map<FanOutStep, number>();

  constructor(
    private readonly clock: Clock,
    /** Clock reading. */
    private readonly receivedAt: number,
  ) {}

  /** Records that the step was reached at `at`, a clock reading; later calls for it have no effect. */
  record(step: FanOutStep, at = this.clock.now()): void {
    if (!this.reachedAt.has(step)) this.reachedAt.set(step, at);
  }

  /** Steps that were not reached are left out. */
  get fields(): LogFields {
    const entries = [...this.reachedAt].map(([step, at]) => [
      step,
      Math.round(at - this.receivedAt),
    ]);
    return Object.fromEntries(entries) as LogFields;
  }
}
