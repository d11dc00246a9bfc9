/** What a replica says of its load in a header of its answers. */

/** See the module comment. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at the replica at that moment over what is usual; 1 when it does not say. */
  readonly workFactor: number;
  /** When the gateway read it. Clock reading, milliseconds. */
  readonly at: number;
}

/** Running, waiting and slots are in every report; figures after the fourth are not used. */
const REQUIRED_NUMBERS = 3;
const NUMBER_PATTERN = /^\d{1,9}$/;
/** Replicas give the time that work takes in percent of the usual time. */
const USUAL_WORK_PERCENT = 100;

/** Undefined when `text` is no report: too few figures, or something else than whole numbers. */
export function parseReportedLoad(text: string, at: number): ReportedLoad | undefined {
  const numbers = text.split(',').map((figure) => figure.trim());
  const isReport =
    numbers.length >= REQUIRED_NUMBERS && numbers.every((figure) => NUMBER_PATTERN.test(figure));
  if (!isReport) return undefined;
  const [running = 0, waiting = 0, slots = 0, workPercent = USUAL_WORK_PERCENT] =
    numbers.map(Number);
  return { running, waiting, slots, workFactor: workPercent / USUAL_WORK_PERCENT, at };
}
