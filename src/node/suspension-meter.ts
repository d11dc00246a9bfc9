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
/** The boot clock counts in hundredths of a second; less than a few of them is no shift. Milliseconds. */
const RESOLUTION_MS = 40;
/**
 * How often the boot clock is compared with the steady one, to know whether it can be relied
 * on: under emulation it may be another machine's. Milliseconds.
 */
const COMPARE_INTERVAL_MS = 1_000;
/** Comparisons in which both went alike before the boot clock is believed against the time of day. */
const COMPARISONS_TO_TRUST = 5;
/** Readings between which the process did not run for so long are taken again. Milliseconds. */
const LONGEST_READING_MS = 5;
const MAXIMUM_READINGS = 5;

/** How far the other clocks are from the steady one. */
interface Offsets {
  readonly steady: number;
  readonly wall: number;
  readonly boot: number;
}

/** See the module comment. */
export class SuspensionMeter {
  private suspended = 0;
  private last: Offsets;
  /** Comparisons in a row in which the boot clock went like the steady one. */
  private agreements = 0;
  private isBootClockUsable = true;

  constructor(private readonly readings: ClockReadings) {
    this.last = this.readOffsets();
  }

  /** Suspended since the start, as far as it shows at the reading `steady` of the steady clock. Never shrinks. */
  suspendedAt(steady: number): number {
    if (!this.isBootClockUsable) return this.suspended;
    const wallShift = this.readings.wall() - steady - this.last.wall;
    const isSuspicious = Math.abs(wallShift) > SUSPICIOUS_SHIFT_MS;
    const isDue = steady - this.last.steady > COMPARE_INTERVAL_MS;
    if (isSuspicious || isDue) this.compare();
    return this.suspended;
  }

  private compare(): void {
    const before = this.last;
    this.last = this.readOffsets();
    const bootShift = this.last.boot - before.boot;
    const wallShift = this.last.wall - before.wall;
    if (Math.abs(bootShift) <= RESOLUTION_MS) {
      const isWhole = this.last.steady - before.steady > COMPARE_INTERVAL_MS;
      if (isWhole) this.agreements += 1;
      return;
    }
    const isSeenTwice = Math.abs(bootShift - wallShift) <= RESOLUTION_MS;
    const wasSet = Math.abs(wallShift) > RESOLUTION_MS;
    const isTrusted = this.agreements >= COMPARISONS_TO_TRUST;
    // The time of day saw the same, or was itself set while a trusted boot clock went on.
    if (bootShift > 0 && (isSeenTwice || (wasSet && isTrusted))) this.suspended += bootShift;
    else this.isBootClockUsable = false;
  }

  /** Those of the reading of the boot clock that was held up the least. */
  private readOffsets(): Offsets {
    const { readings } = this;
    let boot = Infinity;
    for (let reading = 0; reading < MAXIMUM_READINGS; reading += 1) {
      const before = readings.steady();
      boot = Math.min(boot, readings.boot() - before);
      if (readings.steady() - before < LONGEST_READING_MS) break;
    }
    const steady = readings.steady();
    return { steady, wall: readings.wall() - steady, boot };
  }
}
