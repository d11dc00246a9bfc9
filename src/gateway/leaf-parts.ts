/**
 * The part that leaves admit of the requests to one set of shards: the mean of their latest reports. A
 * mean over a fixed number of reports is exactly 1 once all of them are, which an exponential average
 * only comes near.
 */
import { RecoveringPart } from './recovering-part.js';

/** Reports of one or two requests, as each leaf covers only some of the shards. */
const MAXIMUM_REPORTS = 16;

/** Times are clock readings in milliseconds. */
export class LeafParts {
  private readonly reports: RecoveringPart[] = [];
  private next = 0;

  /** Records the part that a leaf admits, from 0 to 1. */
  record(admittedPart: number, now: number): void {
    const report = new RecoveringPart();
    report.set(admittedPart, now);
    report.hold(now);
    this.reports[this.next] = report;
    this.next = (this.next + 1) % MAXIMUM_REPORTS;
  }

  /** 1 without reports. */
  meanAt(now: number): number {
    if (this.reports.length === 0) return 1;
    return this.reports.reduce((sum, report) => sum + report.at(now), 0) / this.reports.length;
  }
}
