/** Parses the load report that replicas send in a header of their answers. */

/** Requests and slots of a replica at one moment. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * Current duration of work at the replica as a multiple of the usual duration; 1 if not reported.
   */
  readonly workFactor: number;
  /** When the gateway read the report. Clock reading, milliseconds. */
  readonly at: number;
}

/** Every report has running, waiting and slots; numbers after the fourth are ignored. */
const REQUIRED_NUMBERS = 3;
const NUMBER_PATTERN = /^\d{1,9}$/;
/** The fourth number is the duration of work in percent of the usual duration. */
const USUAL_WORK_PERCENT = 100;

/**
 * Returns undefined if `text` has fewer than three numbers or anything else than non-negative
 * integers.
 */
export function parseReportedLoad(text: string, at: number): ReportedLoad | undefined {
  const numbers = text.split(',').map((field) => field.trim());
  const isReport =
    numbers.length >= REQUIRED_NUMBERS && numbers.every((field) => NUMBER_PATTERN.test(field));
  if (!isReport) return undefined;
  const [running = 0, waiting = 0, slots = 0, workPercent = USUAL_WORK_PERCENT] =
    numbers.map(Number);
  return { running, waiting, slots, workFactor: workPercent / USUAL_WORK_PERCENT, at };
}
