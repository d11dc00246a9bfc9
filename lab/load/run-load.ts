/** One run of stand-in callers against a set of routers. */
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { CallerLedger } from '../ledger/caller-ledger.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { Caller, type CallerRequest } from './caller.js';
import { runOpenLoop, type Arrivals } from './open-loop-load.js';
import { QueryMix, type QueryKind } from './query-mix.js';

/** Most connections of one caller to its router. */
const CONNECTIONS_PER_CALLER = 512;

/** A router that is called. */
export interface LoadTarget {
  readonly name: string;
  readonly address: Address;
}

/** What to send, where, and how fast. */
export interface LoadPlan {
  /** Get the requests in turn. */
  readonly targets: readonly LoadTarget[];
  readonly queries: readonly QueryKind[];
  /** One way between a caller and a router. Milliseconds. */
  readonly clientLatency: number;
  /** Requests a second, over all routers. */
  readonly rate: number;
  readonly requests: number;
  readonly arrivals: Arrivals;
  /** Sends no further request once it aborts. */
  readonly signal?: AbortSignal;
  /** Told of each request as it leaves, and of its end. */
  readonly onSend?: (request: CallerRequest) => void;
  readonly onEnd?: (entry: CallerLedgerEntry) => void;
}

/** A caller for each router, all with one ledger. */
export function createCallers(
  environment: Environment,
  targets: readonly LoadTarget[],
  oneWayLatency: number,
  ledger: CallerLedger,
): Caller[] {
  return targets.map(
    ({ name, address }, index) =>
      new Caller(environment, {
        name: `caller-${index + 1}`,
        target: name,
        address,
        connections: CONNECTIONS_PER_CALLER,
        oneWayLatency,
        ledger,
      }),
  );
}

/** Sends all requests on schedule and waits for the end of the last one. */
export async function runLoad(environment: Environment, plan: LoadPlan): Promise<CallerLedger> {
  const ledger = new CallerLedger();
  const callers = createCallers(environment, plan.targets, plan.clientLatency, ledger);
  const mix = new QueryMix(plan.queries, environment.random);
  const { onSend, onEnd, signal } = plan;
  await runOpenLoop(environment, callers, {
    rate: plan.rate,
    requests: plan.requests,
    arrivals: plan.arrivals,
    next: () => {
      const request = mix.next();
      onSend?.(request);
      return request;
    },
    ...(onEnd === undefined ? {} : { onEnd }),
    ...(signal === undefined ? {} : { signal }),
  });
  await Promise.all(callers.map((caller) => caller.close()));
  return ledger;
}
