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
import { seededRandom } from '../simulation/seeded-random.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import { chance, pick } from './fault-plan.js';
import { OUTSIDE_ZONE } from './fleet-addresses.js';
import type { Fleet } from './fleet.js';
import type { ManagedProcess } from './managed-process.js';
import { ReadinessProbes } from './readiness-probes.js';
import type { SimulatedRouter } from './simulated-daemons.js';
import { isRepeatable } from './simulated-deployment.js';

const CONNECTIONS = 64;
const DEADLINES = [150, 600, 2_000];
const KEYED_SHARE = 0.15;
/** Of requests: content with nothing less than every shard. */
const FULL_COVERAGE_SHARE = 0.5;
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
  private readonly probes: ReadinessProbes;
  private sent = 0;

  constructor(
    private readonly fleet: Fleet,
    seed: number,
  ) {
    this.machine = fleet.simulation.createMachine('callers', OUTSIDE_ZONE);
    this.probes = new ReadinessProbes(fleet, this.machine.environment);
    this.random = seededRandom(seed, 'callers');
  }

  /** Lays down requests at `rate` a second. Virtual milliseconds. */
  schedule(rate: number, from: number, to: number): void {
    this.probes.run(to);
    for (const time of drawArrivalTimes(rate, from, to, this.random)) {
      const request = this.drawRequest(pick(this.random, this.fleet.services));
      const preferred = pick(this.random, this.fleet.routers);
      const wait = this.random.nextFloat() * LONGEST_RACE;
      const races = !request.request.repeatable && chance(this.random, RACING_SHARE);
      this.fleet.simulation.at(time, () => {
        const router = this.choose(preferred);
        if (router === undefined) return;
        void this.ask(router, request, races);
        if (races) void this.race(router, request, wait);
      });
    }
  }

  /** The preferred router, or another while that one says that it is stopping. */
  private choose(preferred: RouterProcess): RouterProcess | undefined {
    const usable = this.probes.usable();
    return usable.includes(preferred) ? preferred : usable[0];
  }

  private drawRequest({ name }: ServiceDefinition): CallerRequest & {
    request: { repeatable: boolean };
  } {
    this.sent += 1;
    const requestId = `request-${this.sent}`;
    const keyed = chance(this.random, KEYED_SHARE);
    const full = chance(this.random, FULL_COVERAGE_SHARE);
    return {
      service: name,
      request: {
        requestId,
        query: { find: requestId },
        deadlineMs: pick(this.random, DEADLINES),
        repeatable: isRepeatable(name),
        ...(keyed ? { key: requestId } : {}),
        ...(full ? { requiredCoverage: 1 } : {}),
      },
    };
  }

  /** Goes to another router only if nothing ran: not while a second sending is under way. */
  private async ask(router: RouterProcess, request: CallerRequest, races: boolean): Promise<void> {
    const { lifeNumber } = router;
    const entry = await this.send(router, request);
    await this.machine.environment.clock.sleep(RESEND_PAUSE);
    if (entry.repeatable) {
      if (mayDoBetterElsewhere(entry)) await this.sendElsewhere(router, renew(request));
      return;
    }
    if (entry.outcome === 'refused_not_run') {
      if (!races) await this.sendElsewhere(router, request);
      return;
    }
    const asksAgain = entry.outcome === 'outcome_unknown' || entry.outcome === 'timed_out';
    if (asksAgain && router.lifeNumber === lifeNumber) await this.send(router, request);
  }

  /** The router that took the first sending must still be the one that takes the second. */
  private async race(router: RouterProcess, request: CallerRequest, wait: number): Promise<void> {
    const { lifeNumber } = router;
    await this.machine.environment.clock.sleep(wait);
    if (router.lifeNumber === lifeNumber) await this.send(router, request);
  }

  private async sendElsewhere(router: RouterProcess, request: CallerRequest): Promise<void> {
    const others = this.probes.usable().filter((other) => other !== router);
    if (others.length > 0) await this.send(pick(this.random, others), request);
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
