/** The callers of a bench run: open loop, so a slow answer does not hold up the next request. */
import { PureRandomSource } from '../../src/node/pure-random-source.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import type { Address } from '../../src/seams/address.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import type { CallerLedger } from '../ledger/caller-ledger.js';
import { Caller } from '../load/caller.js';
import type { Simulation } from '../simulation/simulation.js';
import type { RequestRecord } from './bench-record.js';
import { drawArrivalTimes } from './poisson-arrivals.js';
import type { Arrivals, Trace } from './trace.js';

/** A router that callers may use. */
export interface RouterEndpoint {
  readonly name: string;
  readonly zone: string;
  readonly address: Address;
}

/** One caller and where its router stands. */
interface RoutedCaller {
  readonly caller: Caller;
  readonly zone: string;
}

const CALLER_CONNECTIONS = 4_000;
const CALLERS_MACHINE = 'callers';
/** Zone of the callers' machine; no router or back end stands there. */
export const CALLERS_ZONE = 'callers';
const LARGEST_SEED = 2 ** 31 - 1;

/** Sends every request of the trace and keeps what came of it. */
export class BenchCallers {
  readonly records: RequestRecord[] = [];
  private readonly random: RandomSource;
  private readonly callers: readonly RoutedCaller[];
  private readonly clockOrigin: number;
  private sent = 0;

  constructor(
    private readonly simulation: Simulation,
    private readonly trace: Trace,
    seed: number,
    routers: readonly RouterEndpoint[],
    ledger: CallerLedger,
  ) {
    this.random = new PureRandomSource(seed);
    const machine = simulation.createMachine(CALLERS_MACHINE, CALLERS_ZONE);
    const { environment } = machine;
    this.clockOrigin = environment.clock.now() - simulation.now;
    this.callers = routers.map(({ name, zone, address }) => ({
      zone,
      caller: new Caller(environment, {
        name: CALLERS_MACHINE,
        target: name,
        address,
        connections: CALLER_CONNECTIONS,
        oneWayLatency: 0,
        ledger,
      }),
    }));
  }

  /** Lays down every arrival of the trace, counted from `start`. Milliseconds of the simulation. */
  schedule(start: number): void {
    for (const arrivals of this.trace.arrivals) {
      const random = new PureRandomSource(this.random.nextInteger(0, LARGEST_SEED));
      const { ratePerSecond, fromMs, toMs = this.trace.durationMs } = arrivals;
      const times = drawArrivalTimes(ratePerSecond, fromMs, toMs, random);
      for (const time of times) {
        const index = random.nextInteger(0, this.callers.length - 1);
        this.simulation.at(start + time, () => void this.send(arrivals, time, start, index, 0));
      }
    }
  }

  private async send(
    arrivals: Arrivals,
    time: number,
    start: number,
    callerIndex: number,
    earlierTries: number,
  ): Promise<void> {
    const routed = this.callers[callerIndex % this.callers.length];
    if (routed === undefined) return;
    this.sent += 1;
    const identifier = `bench-${this.sent}`;
    const { service, team, repeatable, deadlineMs } = arrivals;
    const entry = await routed.caller.send({
      service,
      request: { requestId: identifier, query: { find: identifier }, team, repeatable, deadlineMs },
      scheduledAt: this.clockOrigin + start + time,
    });
    this.records.push({ scheduledAt: time, zone: routed.zone, team, entry });
    if (earlierTries >= arrivals.callerRetries || !mayAskAgain(entry)) return;
    const now = this.simulation.now - start;
    await this.send(arrivals, now, start, callerIndex + 1, earlierTries + 1);
  }
}

/** An impatient caller: asks again at once after any end that allows it. */
function mayAskAgain(entry: CallerLedgerEntry): boolean {
  if (entry.outcome === 'answered' || entry.outcome === 'bad_request') return false;
  return entry.repeatable || entry.outcome === 'refused_not_run';
}
