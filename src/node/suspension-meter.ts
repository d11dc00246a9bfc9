/**
 * Measures for how long the machine was suspended since the process started. The steady clock
 * does not count that time, so a lease, deadline or age measured by it alone would hold for as
 * much too long after the machine woke up.
 */
import { uptime } from 'node:os';

/** The clocks that are compared. Milliseconds; only differences mean anything. */
export interface ClockReadings {
  /** Never jumps, and stands still while the machine is suspended. */
  steady(): number;
  /** Counts suspension, and may jump. Cheap to read. */
  wall(): number;
  /** Time since the machine was booted, suspension counted. Costs system calls to read. */
  boot(): number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** As the operating system provides them; on Linux the uptime counts suspension. */
export const SYSTEM_READINGS: ClockReadings = {
  steady: () => performance.now(),
  wall: () => Date.now(),
  boot: () => uptime() * MILLISECONDS_PER_SECOND,
};

/**
 * The time of day has run away from the steady clock by this much: either it was set, or the
 * machine was suspended, and the boot clock tells which. Milliseconds.
 */
const SUSPICIOUS_SHIFT_MS = 20;
/** The boot clock counts in hundredths of a second; less than a few of them is no suspension. Milliseconds. */
const SHORTEST_SUSPENSION_MS = 40;
/** Readings between which the process did not run for so long are taken again. Milliseconds. */
const LONGEST_READING_MS = 5;
const MAXIMUM_READINGS = 5;

/** See the module comment. */
export class SuspensionMeter {
  private suspended = 0;
  /** Time of day over the steady clock when they were last compared. */
  private wallOffset: number;
  /** Boot clock over the steady clock at the start. */
  private readonly bootOffset: number;

  constructor(private readonly readings: ClockReadings) {
    this.wallOffset = readings.wall() - readings.steady();
    this.bootOffset = this.readBootOffset();
  }

  /** Suspended since the start, as far as it shows at the reading `steady` of the steady clock. Never shrinks. */
  suspendedAt(steady: number): number {
    const wallOffset = this.readings.wall() - steady;
    if (Math.abs(wallOffset - this.wallOffset) < SUSPICIOUS_SHIFT_MS) return this.suspended;
    this.wallOffset = wallOffset;
    const measured = this.readBootOffset() - this.bootOffset;
    if (measured - this.suspended > SHORTEST_SUSPENSION_MS) this.suspended = measured;
    return this.suspended;
  }

  /** The smallest of a few: a process that does not run between two readings makes it greater. */
  private readBootOffset(): number {
    const { readings } = this;
    let smallest = Infinity;
    for (let reading = 0; reading < MAXIMUM_READINGS; reading += 1) {
      const before = readings.steady();
      const offset = readings.boot() - before;
      smallest = Math.min(smallest, offset);
      if (readings.steady() - before < LONGEST_READING_MS) break;
    }
    return smallest;
  }
}
