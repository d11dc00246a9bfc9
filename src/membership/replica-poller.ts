/** Polls the report of one replica about twice a second, until stopped. */
import { BACKEND_REPORT_PATH, type BackendReport } from '../model/backend-protocol.js';
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import { readReport } from './report-reader.js';
import type { ReplicaRecord } from './replica-record.js';

/** Mean interval between two polls. Milliseconds. */
export const REPORT_INTERVAL_MS = 500;
/** Each interval differs from the mean by up to this fraction, so that routers do not poll in step. */
const REPORT_JITTER_FRACTION = 0.2;
/**
 * A report that takes longer counts as missed. Short enough that the third consecutive miss comes
 * within 3 s of the first. Milliseconds.
 */
export const REPORT_TIMEOUT_MS = 800;

/** Receives reports and missed reports. */
export interface ReportSink {
  onReport(record: ReplicaRecord, report: BackendReport): void;
  onMissedReport(record: ReplicaRecord): void;
}

/** One poller per replica; start it with {@link ReplicaPoller.run}. */
export class ReplicaPoller {
  private readonly stopped = new AbortController();
  /** Resolves once the first report has arrived or was missed, or the poller is stopped. */
  readonly firstPoll: Promise<void>;
  private resolveFirstPoll: () => void = () => undefined;

  constructor(
    private readonly record: ReplicaRecord,
    private readonly sink: ReportSink,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.firstPoll = new Promise((resolve) => {
      this.resolveFirstPoll = resolve;
    });
  }

  /** Runs until {@link stop}. Never throws. */
  async run(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.pollOnce();
      this.resolveFirstPoll();
      await this.clock.sleep(this.nextDelayMs(), signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.resolveFirstPoll();
    this.stopped.abort(new Error('stopped'));
  }

  private async pollOnce(): Promise<void> {
    const report = await this.fetchReport();
    if (this.stopped.signal.aborted) return;
    if (report?.replicaId === this.record.replica.replicaId) {
      this.sink.onReport(this.record, report);
    } else {
      this.sink.onMissedReport(this.record);
    }
  }

  private async fetchReport(): Promise<BackendReport | undefined> {
    const timeout = new AbortController();
    const abort = (): void => timeout.abort(new Error('report timeout'));
    const timer = this.clock.setTimer(REPORT_TIMEOUT_MS, abort);
    this.stopped.signal.addEventListener('abort', abort, { once: true });
    try {
      const response = await this.record.channel.send({
        method: 'GET',
        path: BACKEND_REPORT_PATH,
        headers: {},
        signal: timeout.signal,
      });
      return response.status === 200 ? readReport(response.body) : undefined;
    } catch {
      return undefined;
    } finally {
      timer.cancel();
      this.stopped.signal.removeEventListener('abort', abort);
    }
  }

  private nextDelayMs(): number {
    return REPORT_INTERVAL_MS * (1 + REPORT_JITTER_FRACTION * (2 * this.random.nextFloat() - 1));
  }
}
