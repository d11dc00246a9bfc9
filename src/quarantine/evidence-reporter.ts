/**
 * Tells the controllers what this gateway has seen of requests under which replicas ended: of a
 * trial and of an answer at once, since another gateway may get the request any moment;
 * otherwise a moment later, as most such requests are answered by another replica meanwhile,
 * and then there is nothing to tell. Bounded in what it keeps and in what it sends a second.
 */
import type { Clock } from '../seams/clock.js';
import { RecentMap } from './recent-map.js';
import { MAXIMUM_ENTRIES } from './quarantine-entry.js';
import { isUrgent, type QuarantineChange } from './quarantine-register.js';

/** From the first evidence to its report, and between reports. Longer than most answers take. Milliseconds. */
const REPORT_INTERVAL_MS = 100;
/** Reports that are sent at once: a gateway that loses a zone's replicas does not flood the controllers. */
const MAXIMUM_REPORTS_PER_INTERVAL = 8;
/** A report that has not shown in what the controllers say is sent again, so often at most. */
const RESEND_INTERVAL_MS = 1_000;
const MAXIMUM_RESENDS = 5;

/** A change that is to be told, or that was told and has not come back yet. */
interface PendingReport {
  readonly change: QuarantineChange;
  readonly dueAt: number;
  readonly sendCount: number;
}

/** What the reporter works with. */
export interface EvidenceReporterParts {
  readonly clock: Clock;
  /** Sends a change to a controller; false while none is followed. */
  readonly send: (change: QuarantineChange) => boolean;
}

/** See the module comment. */
export class EvidenceReporter {
  private readonly pending = new RecentMap<string, PendingReport>(MAXIMUM_ENTRIES);
  private isRunning = false;

  constructor(private readonly parts: EvidenceReporterParts) {}

  /** The change is to be told; it takes the place of an earlier one about the same request. */
  report(change: QuarantineChange): void {
    const { clock } = this.parts;
    const known = this.pending.get(change.fingerprint);
    const isUntold = known?.sendCount === 0;
    const dueAt = isUntold ? known.dueAt : clock.now() + REPORT_INTERVAL_MS;
    const report = { change, dueAt, repeats: 0 };
    this.pending.set(change.fingerprint, report);
    if (isUrgent(change) && this.parts.send(change)) this.recordSent(report, clock.now());
    if (!this.isRunning) void this.run();
  }

  /** Whether evidence of the request was told to a controller. */
  hasReported(fingerprint: string): boolean {
    const known = this.pending.get(fingerprint);
    return known !== undefined && known.sendCount > 0;
  }

  /** The controllers know it, or it counts no more. */
  discard(fingerprint: string): void {
    this.pending.delete(fingerprint);
  }

  private async run(): Promise<void> {
    const { clock } = this.parts;
    this.isRunning = true;
    while (this.pending.size > 0) {
      await clock.sleep(REPORT_INTERVAL_MS);
      this.sendDue();
    }
    this.isRunning = false;
  }

  /** What is urgent first: little of it makes the difference. */
  private sendDue(): void {
    const now = this.parts.clock.now();
    const due = [...this.pending.values()].filter(({ dueAt }) => dueAt <= now);
    due.sort((left, right) => Number(isUrgent(right.change)) - Number(isUrgent(left.change)));
    for (const report of due.slice(0, MAXIMUM_REPORTS_PER_INTERVAL)) {
      if (!this.parts.send(report.change)) return;
      this.recordSent(report, now);
    }
  }

  private recordSent({ change, sendCount: repeats }: PendingReport, now: number): void {
    if (repeats >= MAXIMUM_RESENDS) {
      this.pending.delete(change.fingerprint);
      return;
    }
    const dueAt = now + RESEND_INTERVAL_MS;
    this.pending.set(change.fingerprint, { change, dueAt, sendCount: repeats + 1 });
  }
}
