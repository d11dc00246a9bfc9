/**
 * When each step of a fan-out or gather happened, for its log line: tells late parts from late reports
 * and from a late answer, and waiting from work. Times are milliseconds since the request was received.
 */
import type { LogFields } from '../observability/logger.js';
import type { Environment } from '../seams/environment.js';

/** Steps of a fan-out at its root, named as the log fields are. */
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
  /** The merged answer was handed over. */
  Answered = 'answeredMs',
}

/** Steps of a gather at its leaf, named as the log fields are. */
export enum GatherStep {
  Begun = 'begunMs',
  /** A first attempt was started for every shard. */
  Sent = 'sentMs',
  FirstPart = 'firstPartMs',
  /** The last part that has arrived. */
  LastPart = 'lastPartMs',
  FirstReport = 'firstReportMs',
  LastReport = 'lastReportMs',
}

/** Steps of which the last occurrence counts; of the others it is the first. */
const RECURRING_STEPS: ReadonlySet<string> = new Set([GatherStep.LastPart, GatherStep.LastReport]);

/** Timeline of one fan-out or gather. */
export class StepTimeline<Step extends string> {
  private readonly reachedAt = new Map<Step, number>();
  private readonly busyBefore: number | undefined;

  constructor(
    private readonly environment: Pick<Environment, 'clock' | 'eventLoop'>,
    /** Clock reading. */
    private readonly receivedAt: number,
  ) {
    this.busyBefore = environment.eventLoop?.busyTime();
  }

  /** Records that the step was reached at `at`, a clock reading. */
  record(step: Step, at = this.environment.clock.now()): void {
    if (!this.reachedAt.has(step) || RECURRING_STEPS.has(step)) this.reachedAt.set(step, at);
  }

  /** Steps that were not reached are left out, as is the busy time where it is not known. */
  get fields(): LogFields {
    const entries = [...this.reachedAt].map(([step, at]) => [
      step,
      Math.round(at - this.receivedAt),
    ]);
    return { ...(Object.fromEntries(entries) as LogFields), ...this.busyFields };
  }

  /** For how long the event loop was busy since the timeline was created. */
  private get busyFields(): LogFields {
    if (this.busyBefore === undefined) return {};
    const busy = this.environment.eventLoop?.busyTime() ?? this.busyBefore;
    return { busyMs: Math.round(busy - this.busyBefore) };
  }
}
