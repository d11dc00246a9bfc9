/**
 * When a leaf reports a gather that has not ended. A report costs the leaf as much as querying a shard does, and
 * the root nearly as much. Times alone would make a leaf that is behind report more often: before its replicas
 * can have answered, and then each part by itself.
 */

/** Upper bound of the time for a grant to arrive, and its value until it is known, as a fraction of the hedge delay. */
const MAXIMUM_GRANT_FRACTION = 0.3;
/**
 * Latest time of the first report, as a fraction of the target latency. Below the shortest time after
 * which a root tries another leaf as well: slow replicas must not make a leaf look silent.
 */
const FIRST_REPORT_FRACTION = 0.35;
/** Upper bound of the lag that is allowed for, as a fraction of the time until the report is due. */
const MAXIMUM_LAG_FRACTION = 0.5;
/** Reports that are due within this fraction of the target latency of each other are sent as one. */
const JOINED_REPORTS_FRACTION = 0.1;
/** Minimum time between reports of late parts; those that arrive meanwhile are reported together. */
const LATE_REPORT_INTERVAL_MS = 3;
/** Upper bound of the time between reports of late parts, as a fraction of the target latency. */
const MAXIMUM_INTERVAL_FRACTION = 0.25;

/** What the schedule of one gather depends on. Durations are milliseconds. */
export interface ReportTerms {
  /** Target latency of the route. */
  readonly target: number;
  /** Time after which an attempt is hedged. */
  readonly hedgeDelay: number;
  /** Typical time from the request for a grant to its arrival; undefined while it is not known. */
  readonly grantDelay: number | undefined;
  /** Median latency of an attempt. */
  readonly medianLatency: number;
  /** Time until the root waits for a report. */
  readonly reportIn: number;
  /** Median lag of timers on this gateway. */
  readonly typicalLag: number;
  readonly shards: number;
  /** Fraction of the shards that the root needs for an answer. */
  readonly requiredCoverage: number;
}

/** The lag by which a report that is due in `due` is sent earlier. Milliseconds. */
function lagWithin(due: number, lag: number): number {
  return Math.min(lag, due * MAXIMUM_LAG_FRACTION);
}

/** Time before the hedge at which the grant is requested. Milliseconds. */
function timeForGrant({ hedgeDelay, grantDelay }: ReportTerms): number {
  const longest = hedgeDelay * MAXIMUM_GRANT_FRACTION;
  return Math.min(grantDelay ?? longest, longest);
}

/** Schedule of one gather. */
export class ReportSchedule {
  /** Time until the report that the root waits for. Milliseconds. */
  readonly reportDelay: number;
  /** Time until the grant is requested, which shows the root that this leaf is alive. Milliseconds. */
  readonly grantRequestDelay: number;
  /** Number of parts from which the root can do without the rest of this gather. */
  private readonly sufficientParts: number;
  private readonly maximumInterval: number;
  private interval = LATE_REPORT_INTERVAL_MS;

  constructor(terms: ReportTerms) {
    const { target, reportIn, shards, requiredCoverage } = terms;
    this.sufficientParts = Math.floor(requiredCoverage * shards);
    this.maximumInterval = Math.max(LATE_REPORT_INTERVAL_MS, target * MAXIMUM_INTERVAL_FRACTION);
    const latestFirst = target * FIRST_REPORT_FRACTION;
    const earliest = Math.min(terms.medianLatency, latestFirst);
    const withoutLag = (due: number): number =>
      Math.max(due - lagWithin(due, terms.typicalLag), earliest);
    this.reportDelay = withoutLag(reportIn);
    const requestDelay = withoutLag(Math.min(terms.hedgeDelay - timeForGrant(terms), latestFirst));
    const isJoined =
      Math.abs(this.reportDelay - requestDelay) <= target * JOINED_REPORTS_FRACTION &&
      this.reportDelay <= latestFirst;
    this.grantRequestDelay = isJoined ? this.reportDelay : requestDelay;
  }

  /** Whether the report that the root waits for requests the grant as well. */
  get isGrantRequestedWithReport(): boolean {
    return this.grantRequestDelay === this.reportDelay;
  }

  /**
   * Time after the last report at which late parts are reported, given the number of parts so far.
   * Milliseconds.
   */
  lateReportInterval(parts: number): number {
    return parts >= this.sufficientParts ? LATE_REPORT_INTERVAL_MS : this.interval;
  }

  /** Records a report of late parts: while more are missing, the next one waits for twice as long. */
  recordLateReport(): void {
    this.interval = Math.min(this.interval * 2, this.maximumInterval);
  }
}
