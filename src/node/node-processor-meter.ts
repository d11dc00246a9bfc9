/** Production {@link ProcessorMeter}, over the processor time that the system counts for this process. */
import { ProcessorCause, type ProcessorMeter } from '../seams/processor-meter.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Processor time of this process since it began, of all its threads. Milliseconds. */
export function processorTime(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/** Charges each moment to one cause. */
export class NodeProcessorMeter implements ProcessorMeter {
  private readonly spent = new Map<ProcessorCause, number>();
  private base = ProcessorCause.Start;
  private cause = this.base;
  /** Reading up to which everything is charged. */
  private chargedUntil = 0;

  /** `readUsed` returns the milliseconds used since the process began. */
  constructor(private readonly readUsed: () => number = processorTime) {}

  charge<T>(cause: ProcessorCause, work: () => T): T {
    const outer = this.cause;
    this.switchTo(cause);
    try {
      return work();
    } finally {
      this.switchTo(outer === ProcessorCause.Start ? this.base : outer);
    }
  }

  endStart(): void {
    if (this.base !== ProcessorCause.Start) return;
    this.base = ProcessorCause.Other;
    if (this.cause === ProcessorCause.Start) this.switchTo(this.base);
  }

  /** Milliseconds charged to each cause so far. */
  read(): ReadonlyMap<ProcessorCause, number> {
    this.switchTo(this.cause);
    return new Map(this.spent);
  }

  private switchTo(cause: ProcessorCause): void {
    const used = this.readUsed();
    const before = this.spent.get(this.cause) ?? 0;
    this.spent.set(this.cause, before + used - this.chargedUntil);
    this.chargedUntil = used;
    this.cause = cause;
  }
}
