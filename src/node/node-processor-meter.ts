/** Production {@link ProcessorMeter}, over the processor time that the system counts for this process. */
import { ProcessorCause, type ProcessorMeter } from '../seams/processor-meter.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Of so many calls one is measured: each measurement costs two system calls. */
const CALLS_PER_SAMPLE: Readonly<Record<ProcessorCause, number>> = {
  [ProcessorCause.Start]: 1,
  [ProcessorCause.Configuration]: 1,
  [ProcessorCause.Controllers]: 16,
  [ProcessorCause.Connections]: 4,
  [ProcessorCause.Attempts]: 64,
  [ProcessorCause.Other]: 1,
};

/** Processor time of this process since it began, of all its threads. Milliseconds. */
export function processorTime(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/** Charges each moment to one cause. */
export class NodeProcessorMeter implements ProcessorMeter {
  private readonly spent = new Map<ProcessorCause, number>();
  private readonly calls = new Map<ProcessorCause, number>();
  /** What is charged for moments that no call charges. */
  private base = ProcessorCause.Start;
  private cause = this.base;
  /** Reading up to which everything is charged. */
  private chargedUntil = 0;

  /** `readUsed` returns the milliseconds used since the process began. */
  constructor(private readonly readUsed: () => number = processorTime) {}

  charge<T>(cause: ProcessorCause, work: () => T): T {
    if (!this.isSampled(cause)) return work();
    const outer = this.cause;
    this.switchTo(cause);
    try {
      return work();
    } finally {
      this.switchTo(outer === ProcessorCause.Start ? this.base : outer);
    }
  }

  used(): number {
    return this.readUsed();
  }

  endStart(): void {
    if (this.base !== ProcessorCause.Start) return;
    this.base = ProcessorCause.Other;
    if (this.cause === ProcessorCause.Start) this.switchTo(this.base);
  }

  /** Milliseconds charged to each cause so far; those of frequent work are estimates. */
  read(): ReadonlyMap<ProcessorCause, number> {
    this.switchTo(this.cause);
    return new Map([...this.spent].map(([cause, ms]) => [cause, Math.max(0, ms)]));
  }

  private isSampled(cause: ProcessorCause): boolean {
    const calls = this.calls.get(cause) ?? 0;
    this.calls.set(cause, calls + 1);
    return calls % CALLS_PER_SAMPLE[cause] === 0;
  }

  private switchTo(cause: ProcessorCause): void {
    const used = this.readUsed();
    const measured = used - this.chargedUntil;
    const estimate = measured * CALLS_PER_SAMPLE[this.cause];
    this.add(this.cause, estimate);
    // The calls that were not measured are in the base.
    this.add(this.base, measured - estimate);
    this.chargedUntil = used;
    this.cause = cause;
  }

  private add(cause: ProcessorCause, milliseconds: number): void {
    this.spent.set(cause, (this.spent.get(cause) ?? 0) + milliseconds);
  }
}
