/**
 * When each step of a fan-out or gather happened, for its log line: tells late parts from late reports and
 * from a late answer, and in some lines also work from waiting for the processor and waiting for others.
 * Times are milliseconds since the request was received.
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
  /** The operating system has taken the whole answer. */
  Written = 'writtenMs',
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

/** What a timeline reads; without a processor meter none is metered. */
export type StepEnvironment = Pick<Environment, 'clock' | 'eventLoop' | 'processor'> &
  Partial<Pick<Environment, 'random'>>;

/** Steps of which the last occurrence counts; of the others it is the first. */
const RECURRING_STEPS: ReadonlySet<string> = new Set([GatherStep.LastPart, GatherStep.LastReport]);

/**
 * Part of the timelines that are metered: they read at each step for how long the process ran. A reading
 * costs a system call.
 */
const METERED_FRACTION = 0.125;

/** When a step was reached, and what the process had done by then. Milliseconds. */
interface StepReading {
  /** Clock reading. */
  readonly at: number;
  readonly usage: ProcessUsage | undefined;
}

/** Readings of what a process has done so far. Milliseconds. */
interface ProcessUsage {
  /** See `EventLoop.busyTime`. */
  readonly busy: number;
  /** Processor time. A busy process that does not run waits for the processor. */
  readonly running: number;
}

/** Log field of a step for another quantity than the time since the receipt. */
function fieldOf(step: string, quantity: string): string {
  return `${step.slice(0, -'Ms'.length)}${quantity}Ms`;
}

/** Timeline of one fan-out or gather. */
export class StepTimeline<Step extends string> {
  private readonly readings = new Map<Step, StepReading>();
  private readonly busyBefore: number | undefined;
  private readonly usageBefore: ProcessUsage | undefined;

  constructor(
    private readonly environment: StepEnvironment,
    /** Clock reading. */
    private readonly receivedAt: number,
  ) {
    this.busyBefore = environment.eventLoop?.busyTime();
    const { processor, random } = environment;
    const isMetered = processor !== undefined && (random?.nextFloat() ?? 1) < METERED_FRACTION;
    if (isMetered) this.usageBefore = this.readUsage();
  }

  /** Records that the step was reached at `at`, a clock reading. */
  record(step: Step, at = this.environment.clock.now()): void {
    if (this.readings.has(step) && !RECURRING_STEPS.has(step)) return;
    const usage = this.usageBefore === undefined ? undefined : this.readUsage();
    this.readings.set(step, { at, usage });
  }

  /**
   * Steps that were not reached are left out, as is the busy time where it is not known. Metered timelines
   * tell for each step for how long the process was busy and ran since the timeline was created.
   */
  get fields(): LogFields {
    const entries = [...this.readings].flatMap(([step, reading]) => this.fieldsOf(step, reading));
    return { ...(Object.fromEntries(entries) as LogFields), ...this.busyFields };
  }

  private fieldsOf(step: Step, { at, usage }: StepReading): [string, number][] {
    const since: [string, number] = [step, Math.round(at - this.receivedAt)];
    const before = this.usageBefore;
    if (usage === undefined || before === undefined) return [since];
    return [
      since,
      [fieldOf(step, 'Busy'), Math.round(usage.busy - before.busy)],
      [fieldOf(step, 'Running'), Math.round(usage.running - before.running)],
    ];
  }

  private readUsage(): ProcessUsage | undefined {
    const { eventLoop, processor } = this.environment;
    if (eventLoop === undefined || processor === undefined) return undefined;
    return { busy: eventLoop.busyTime(), running: processor.used() };
  }

  /** For how long the event loop was busy since the timeline was created. */
  private get busyFields(): LogFields {
    if (this.busyBefore === undefined) return {};
    const busy = this.environment.eventLoop?.busyTime() ?? this.busyBefore;
    return { busyMs: Math.round(busy - this.busyBefore) };
  }
}
