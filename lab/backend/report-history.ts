/** Past states of a stand-in back end, so that its report can lag. */
import type { Clock } from '../../src/seams/clock.js';
import type { BackendReport } from '../../src/model/backend-protocol.js';

interface TimedReport {
  readonly at: number;
  readonly report: BackendReport;
}

/** Remembers reports for as long as the lag needs them. */
export class ReportHistory {
  private readonly reports: TimedReport[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly lag: number,
  ) {}

  /** Notes a state that holds from now on. */
  push(report: BackendReport): void {
    const now = this.clock.now();
    this.reports.push({ at: now, report });
    while (this.reports.length > 1 && (this.reports[1]?.at ?? now) <= now - this.lag) {
      this.reports.shift();
    }
  }

  /** The newest state at least as old as the lag, else the oldest known. */
  read(): BackendReport | undefined {
    const visibleUntil = this.clock.now() - this.lag;
    const visible = this.reports.filter(({ at }) => at <= visibleUntil);
    return (visible.at(-1) ?? this.reports[0])?.report;
  }
}
