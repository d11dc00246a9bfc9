/**
 * Sends requests on a schedule that does not depend on the answers: a slow
 * system gets no fewer requests than a fast one.
 */
import type { Environment } from '../../src/seams/environment.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import type { Caller, CallerRequest } from './caller.js';

/** How requests are spread over time. */
export type Arrivals = 'even' | 'poisson';

/** One run. */
export interface OpenLoopOptions {
  /** Requests a second, over all callers. */
  readonly rate: number;
  readonly requests: number;
  readonly arrivals: Arrivals;
  /** Draws the next request. */
  readonly next: () => CallerRequest;
  /** Told of every request that has ended. */
  readonly onEnd?: (entry: CallerLedgerEntry) => void;
  /** Sends no further request once it aborts. */
  readonly signal?: AbortSignal;
}

const MILLISECONDS_PER_SECOND = 1_000;

function drawInterval(environment: Environment, options: OpenLoopOptions): number {
  const mean = MILLISECONDS_PER_SECOND / options.rate;
  if (options.arrivals === 'even') return mean;
  return -mean * Math.log(1 - environment.random.nextFloat());
}

/** Sends all requests, callers taking turns; resolves when the last one has ended. */
export async function runOpenLoop(
  environment: Environment,
  callers: readonly Caller[],
  options: OpenLoopOptions,
): Promise<void> {
  const { clock } = environment;
  const running: Promise<void>[] = [];
  let due = clock.now();
  for (let index = 0; index < options.requests; index += 1) {
    const wait = due - clock.now();
    if (wait > 0) await clock.sleep(wait);
    if (options.signal?.aborted === true) break;
    const caller = callers[index % callers.length];
    if (caller === undefined) throw new RangeError('a run needs at least one caller');
    const ended = caller.send({ ...options.next(), scheduledAt: due });
    running.push(ended.then((entry) => options.onEnd?.(entry)));
    due += drawInterval(environment, options);
  }
  await Promise.all(running);
}
