/**
 * Callers of a simulated fleet: open loop, impatient, and as careful with
 * requests that must not run twice as docs/design/simulation.md asks of them.
 */
import type { ServiceDefinition } from '../../src/model/service-definition.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import { drawArrivalTimes } from '../bench/poisson-arrivals.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { CallerLedger } from '../ledger/caller-ledger.js';
import { Caller, type CallerRequest } from '../load/caller.js';
import { EPOCH_START } from '../simulation/simulated-clock.js';
import { seededRandom } from '../simulation/seeded-random.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import { chance, pick } from './fault-plan.js';
import { OUTSIDE_ZONE } from './fleet-addresses.js';
import type { Fleet } from './fleet.js';
import type { ManagedProcess } from './managed-process.js';
import type { SimulatedRouter } from './simulated-daemons.js';
import { isRepeatable } from './simulated-deployment.js';

const CONNECTIONS = 64;
const DEADLINES = [150, 600, 2_000];
const KEYED_SHARE = 0.15;
const LOWER_COVERAGE_SHARE = 0.1;
/** Of requests that must not run twice: sent again while the first is under way. */
const RACING_SHARE = 0.3;
const LONGEST_RACE = 120;
const RESEND_PAUSE = 200;

type RouterProcess = ManagedProcess<SimulatedRouter>;

/** See the module comment. */
export class SimulatedCallers {
  readonly ledger = new CallerLedger();
  private readonly machine: SimulatedMachine;
  private readonly random: RandomSource;
  /** By router and life: a connection of an earlier life is not used again. */
  private readonly callers = new Map<string, Caller>();
  private sent = 0;

  constructor(
    private readonly fleet: Fleet,
    seed: number,
  ) {
    this.machine = fleet.simulation.createMachine('callers', OUTSIDE_ZONE);
    this.random = seededRandom(seed, 'callers');
  }

  /** Lays down requests at `rate` a second. Virtual milliseconds. */
  schedule(rate: number, from: number, to: number): void {
    for (const time of drawArrivalTimes(rate, from, to, this.random)) {
      const request = this.drawRequest(pick(this.random, this.fleet.services));
      const router = pick(this.random, this.fleet.routers);
      const race = this.random.nextFloat() * LONGEST_RACE;
      const races = !request.request.repeatable && chance(this.random, RACING_SHARE);
      this.fleet.simulation.at(time, () => void this.ask(router, request, races));
      if (races) this.fleet.simulation.at(time + race, () => void this.race(router, request, time));
    }
  }

  private drawRequest({ name }: ServiceDefinition): CallerRequest & {
    request: { repeatable: boolean };
  } {
    this.sent += 1;
    const requestId = `request-${this.sent}`;
    const keyed = chance(this.random, KEYED_SHARE);
    const lower = chance(this.random, LOWER_COVERAGE_SHARE);
    return {
      service: name,
      request: {
        requestId,
        query: { find: requestId },
        deadlineMs: pick(this.random, DEADLINES),
        repeatable: isRepeatable(name),
        ...(keyed ? { key: requestId } : {}),
        ...(lower ? { requiredCoverage: 0.5 } : {}),
      },
    };
  }

  /** Goes to another router only if nothing ran: not while a second sending is under way. */
  private async ask(router: RouterProcess, request: CallerRequest, races: boolean): Promise<void> {
    const { lifeNumber } = router;
    const entry = await this.send(router, request);
    await this.machine.environment.clock.sleep(RESEND_PAUSE);
    const others = this.fleet.routers.filter((other) => other !== router);
    if (entry.repeatable) {
      if (mayDoBetterElsewhere(entry)) await this.send(pick(this.random, others), renew(request));
      return;
    }
    if (entry.outcome === 'refused_not_run') {
      if (!races) await this.send(pick(this.random, others), request);
      return;
    }
    const asksAgain = entry.outcome === 'outcome_unknown' || entry.outcome === 'timed_out';
    if (asksAgain && router.lifeNumber === lifeNumber) await this.send(router, request);
  }

  /** The router that took the first sending must still be the one that takes the second. */
  private async race(router: RouterProcess, request: CallerRequest, sentAt: number): Promise<void> {
    const loss = this.fleet.routerLosses.lastLoss(router.name);
    if (loss !== undefined && loss >= EPOCH_START + sentAt) return;
    if (router.running === undefined) return;
    await this.send(router, request);
  }

  private send(router: RouterProcess, request: CallerRequest): Promise<CallerLedgerEntry> {
    return this.callerOf(router).send(request);
  }

  private callerOf(router: RouterProcess): Caller {
    const key = `${router.name}/${router.lifeNumber}`;
    const known = this.callers.get(key);
    if (known !== undefined) return known;
    const caller = new Caller(this.machine.environment, {
      name: 'callers',
      target: router.name,
      address: this.fleet.routerAddress(router),
      connections: CONNECTIONS,
      oneWayLatency: 0,
      ledger: this.ledger,
    });
    this.callers.set(key, caller);
    return caller;
  }
}

/** The same question as a request of its own, so that what ran can be told from the first. */
function renew({ service, request }: CallerRequest): CallerRequest {
  const requestId = `${request.requestId}-again`;
  return { service, request: { ...request, requestId, query: { find: requestId } } };
}

function mayDoBetterElsewhere({ outcome }: CallerLedgerEntry): boolean {
  return outcome !== 'answered' && outcome !== 'bad_request';
}
