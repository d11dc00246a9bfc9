/**
 * Part of its gathers that a leaf can serve in time. A leaf short of processor time or connections
 * queues everything until nothing is in time; roots learn the part with each report and refuse the
 * other requests at once (`OverloadShedding`), so that those admitted are answered in time.
 */
import type { Clock } from '../seams/clock.js';
import { AdmittedPart, type AdmittedPartSettings } from '../gateway/admitted-part.js';

const SETTINGS: AdmittedPartSettings = {
  samplesPerWindow: 12,
  overloadedFraction: 0.5,
  unloadedFraction: 0.25,
  increaseStep: 0.2,
  minimum: 0.4,
};

/** One per leaf. */
export class LeafAdmission {
  private readonly part: AdmittedPart;

  constructor(clock: Pick<Clock, 'now'>) {
    this.part = new AdmittedPart(SETTINGS, clock);
  }

  /** Part of the requests that roots may admit, from 0 to 1. */
  get admittedPart(): number {
    return this.part.current;
  }

  /**
   * Records the end of a gather; it is late when fewer than half of its shards had answered at the
   * time of its report, which a few slow replicas don't bring about.
   */
  recordGather(isLate: boolean): void {
    this.part.record(isLate);
  }
}
