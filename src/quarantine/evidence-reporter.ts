/**
 * Reports this gateway's evidence about requests with which replicas terminated to the
 * controllers. Answers, and terminations in trials, are reported at once, since another gateway
 * may receive the same request at any moment. Other evidence is reported after a short delay: most
 * such requests are answered by another replica in the meantime, and then there is nothing to
 * report. Bounded in the reports that it keeps and in those that it sends per second.
 */
import type { Clock } from '../seams/clock.js';
import { RecentMap } from './recent-map.js';
import { MAXIMUM_ENTRIES } from './quarantine-entry.js';
import { isUrgent, type QuarantineChange } from './quarantine-register.js';

/** Delay of a report that is not urgent, and interval between batches; longer than most answers take. Milliseconds. */
const REPORT_INTERVAL_MS = 100;
/**
 * Most reports of one batch; without a bound a gateway that loses a zone's replicas would overload
 * the controllers.
 */
const MAXIMUM_REPORTS_PER_INTERVAL = 8;
/** Interval after which a report without a matching replicated entry is sent again. Milliseconds. */
const RESEND_INTERVAL_MS = 1_000;
const MAXIMUM_RESENDS = 5;

/** A change that is to be sent, or that was sent and has no matching replicated entry yet. */
interface PendingReport {
  readonly change: QuarantineChange;
  /** Clock reading. Milliseconds. */
  readonly dueAt: number;
  readonly sendCount: number;
}

/** Dependencies of {@link EvidenceReporter}. */
export interface EvidenceReporterParts {
  readonly clock: Clock;
  /** Sends a change to the connected controller; false while none is connected. */
  readonly send: (change: QuarantineChange) => boolean;
}

/** Keeps at most one pending report per request. */
export class EvidenceReporter {
  private readonly pending = new RecentMap<string, PendingReport>(MAXIMUM_ENTRIES);
  private isRunning = false;
  private readonly stopped = new AbortController();

  constructor(private readonly parts: EvidenceReporterParts) {}

  /** Queues a report of the change, replacing an earlier one about the same request. */
  report(change: QuarantineChange): void {
    const { clock } = this.parts;
    const known = this.pending.get(change.fingerprint);
    const isUnsent = known?.sendCount === 0;
    const dueAt = isUnsent ? known.dueAt : clock.now() + REPORT_INTERVAL_MS;
    const report = { change, dueAt, sendCount: 0 };
    this.pending.set(change.fingerprint, report);
    if (isUrgent(change) && this.parts.send(change)) this.recordSent(report, clock.now());
    if (!this.isRunning && !this.stopped.signal.aborted) void this.run();
  }

  /** Whether a pending report about the request was sent to a controller. */
  hasReported(fingerprint: string): boolean {
    const known = this.pending.get(fingerprint);
    return known !== undefined && known.sendCount > 0;
  }

  /** Discards the report about a request: the controllers have the evidence, or it no longer counts. */
  discard(fingerprint: string): void {
    this.pending.delete(fingerprint);
  }

  /**
   * Sends what was not sent yet, and ends the repetition: without a controller, which a stopped gateway
   * doesn't have, it would never end by itself and keep the process running.
   */
  stop(): void {
    this.stopped.abort(new Error('stopped'));
    const unsent = [...this.pending.values()].filter(({ sendCount }) => sendCount === 0);
    this.sendBatch(unsent, this.parts.clock.now());
  }

  private async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    this.isRunning = true;
    while (this.pending.size > 0 && !signal.aborted) {
      await clock.sleep(REPORT_INTERVAL_MS, signal).catch(() => undefined);
      this.sendDue();
    }
    this.isRunning = false;
  }

  private sendDue(): void {
    const now = this.parts.clock.now();
    const due = [...this.pending.values()].filter(({ dueAt }) => dueAt <= now);
    this.sendBatch(due, now);
  }

  /** Sends urgent reports first: a few of them decide whether a request is quarantined. */
  private sendBatch(due: PendingReport[], now: number): void {
    due.sort((left, right) => Number(isUrgent(right.change)) - Number(isUrgent(left.change)));
    for (const report of due.slice(0, MAXIMUM_REPORTS_PER_INTERVAL)) {
      if (!this.parts.send(report.change)) return;
      this.recordSent(report, now);
    }
  }

  private recordSent({ change, sendCount }: PendingReport, now: number): void {
    if (sendCount >= MAXIMUM_RESENDS) {
      this.pending.delete(change.fingerprint);
      return;
    }
    const dueAt = now + RESEND_INTERVAL_MS;
    this.pending.set(change.fingerprint, { change, dueAt, sendCount: sendCount + 1 });
  }
}
