/** Divides the processor time of a process by what it is spent on. */

/** What processor time is spent on. */
export enum ProcessorCause {
  /** From the start of the process until its daemon listens. */
  Start = 'start',
  /** Putting configurations in force. */
  Configuration = 'configuration',
  /** Messages from controllers. */
  Controllers = 'controllers',
  /** Keeping connections open that no request needs yet. */
  Connections = 'connections',
  /** Sending requests to replicas, and handling the results. */
  Attempts = 'attempts',
  /** Everything else, such as other work for requests, and the work of the runtime between callbacks. */
  Other = 'other',
}

/** Production daemons have one per process; simulated ones have none. */
export interface ProcessorMeter {
  /**
   * Runs `work` and charges its synchronous part to `cause`; a nested call charges its own part to its cause.
   * Work that is frequent is measured at times, and what was measured counts for the rest.
   */
  charge<T>(cause: ProcessorCause, work: () => T): T;

  /** Processor time of the process since it began, of all its threads. Milliseconds. */
  used(): number;

  /** Ends {@link ProcessorCause.Start}; called once the daemon listens. */
  endStart(): void;
}

/** Runs `work`, charged to `cause` where processor time is metered. */
export function chargeProcessor<T>(
  meter: ProcessorMeter | undefined,
  cause: ProcessorCause,
  work: () => T,
): T {
  return meter === undefined ? work() : meter.charge(cause, work);
}
