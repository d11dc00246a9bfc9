/**
 * Root of the error hierarchy. Every error names the step at which it arose
 * and, where there is one, the peer; labels tell callers what they may do next.
 */

/** Facts about a failure that decide what may follow it. */
export enum ErrorLabel {
  /** Nothing of the request was run anywhere, so running it again doubles nothing. */
  NotRun = 'NotRun',
  /** The same call may succeed later. */
  Transient = 'Transient',
  /** The caller has to change something first. */
  BadInput = 'BadInput',
}

/** Where and why an error arose. */
export interface ErrorContext {
  /** The step that failed, as a short phrase, such as "connect". */
  readonly step: string;
  /** The other process concerned, as `host:port` or its identifier. */
  readonly peer?: string;
  readonly labels?: readonly ErrorLabel[];
  readonly cause?: unknown;
}

/** Base class of all errors this project throws. */
export class DriftwayError extends Error {
  readonly step: string;
  readonly peer: string | undefined;
  private readonly labels: ReadonlySet<ErrorLabel>;

  constructor(message: string, context: ErrorContext) {
    const peer = context.peer === undefined ? '' : ` (peer ${context.peer})`;
    super(`${context.step}: ${message}${peer}`, { cause: context.cause });
    this.name = new.target.name;
    this.step = context.step;
    this.peer = context.peer;
    this.labels = new Set(context.labels ?? []);
  }

  hasLabel(label: ErrorLabel): boolean {
    return this.labels.has(label);
  }
}
