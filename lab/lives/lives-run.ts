/**
 * One seed of the simulation of replicas that start again under their ids, with clocks that step
 * and words that come late, while controllers fail; and what broke.
 */
import type { Address } from '../../src/seams/address.js';
import { RolloutFaults } from '../rollout/rollout-faults.js';
import { RolloutFleet } from '../rollout/rollout-fleet.js';
import { RolloutLedger } from '../rollout/rollout-ledger.js';
import { DEFAULT_ROLLOUT_OPTIONS, RolloutFault } from '../rollout/rollout-options.js';
import { Simulation } from '../simulation/simulation.js';
import { AT_MOST_ONCE_PATH, HOST, LivesCallers, REPEATABLE_PATH } from './lives-callers.js';
import type { LivesOptions } from './lives-options.js';
import { ReplicaLives, type ReplicaLife } from './replica-lives.js';

const ZONES = 3;
const SERVICE = 'ledger';
const START_MS = 8_000;
/** After the last fault and the last start: a silent life is let go, and requests spread. Milliseconds. */
const SETTLE_MS = 14_000;
/** In the last of these each replica is to have got work. Milliseconds. */
const LAST_PART_MS = 6_000;
/** After its leaving was acknowledged a replica gets nothing new. Milliseconds. */
const LEAVING_MS = 3_000;
const CONTROLLER_FAULTS = [RolloutFault.Restart, RolloutFault.Cut, RolloutFault.Freeze];
/** Statuses with which a gateway says that a request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** What one run showed. */
export interface LivesResult {
  readonly seed: number;
  readonly lives: number;
  readonly calls: number;
  readonly answered: number;
  /** What broke, one text each. */
  readonly violations: readonly string[];
  readonly digest: string;
}

function routes(): string {
  const route = { host: HOST, timeoutMs: 1_000, maximumAttempts: 3, service: SERVICE };
  return JSON.stringify({
    version: 1,
    routes: [
      { ...route, name: 'look-up', pathPrefix: REPEATABLE_PATH, execution: 'repeatable' },
      { ...route, name: 'pay', pathPrefix: AT_MOST_ONCE_PATH, execution: 'atMostOnce' },
    ],
    services: [{ name: SERVICE }],
  });
}

/** Runs one seed. */
export async function runLives(options: LivesOptions): Promise<LivesResult> {
  const simulation = new Simulation(options.seed);
  const operator = simulation.createMachine('operator', 'operators');
  const fleetOptions = {
    ...DEFAULT_ROLLOUT_OPTIONS,
    zones: ZONES,
    controllers: ZONES,
    gatewaysPerZone: 1,
    faults: CONTROLLER_FAULTS,
  };
  const fleet = new RolloutFleet(simulation, new RolloutLedger(), fleetOptions);
  await simulation.settle(fleet.start());
  await simulation.runFor(START_MS);
  const controllers = fleet.controllers.map((process) => fleet.registrationAddress(process));
  await putRoutes(simulation, operator.environment.network, controllers);
  const replicas = createReplicas(simulation, options, controllers);
  for (const replica of replicas) await simulation.settle(replica.start());
  await simulation.runFor(2_000);

  const end = simulation.now + options.durationMs;
  new RolloutFaults(simulation, fleet, fleetOptions).schedule(end);
  for (const replica of replicas) replica.schedule(end);
  const gateways = fleet.gateways.map((process) => fleet.callerAddress(process));
  const callers = new LivesCallers(simulation, operator, gateways);
  callers.schedule(end + SETTLE_MS, options.callIntervalMs);
  await simulation.runUntil(end + SETTLE_MS + 2_000);
  return judge(options.seed, simulation, replicas, callers);
}

async function putRoutes(
  simulation: Simulation,
  network: ReturnType<Simulation['createMachine']>['environment']['network'],
  [controller]: readonly Address[],
): Promise<void> {
  if (controller === undefined) throw new RangeError('no controller');
  const client = network.httpClient(controller, {
    connections: 1,
    maximumResponseBytes: 10_000,
    connectTimeout: 1_000,
    keepAliveTimeout: 1_000,
  });
  const request = { method: 'PUT', path: '/v1/routes', headers: {}, body: routes() };
  await simulation.settle(client.request(request));
  await simulation.runFor(1_000);
}

function createReplicas(
  simulation: Simulation,
  { replicas }: LivesOptions,
  controllers: readonly Address[],
): ReplicaLives[] {
  return Array.from({ length: replicas }, (_replica, index) => {
    const zone = `zone-${(index % ZONES) + 1}`;
    const machine = simulation.createMachine(`replica-${index + 1}`, zone);
    const replicaId = `i-${index + 1}`;
    // Each begins with another controller, so that words of one replica reach several.
    const order = [...controllers.slice(index % ZONES), ...controllers.slice(0, index % ZONES)];
    return new ReplicaLives({
      simulation,
      machine,
      replicaId,
      service: SERVICE,
      controllers: order,
    });
  });
}

function judge(
  seed: number,
  simulation: Simulation,
  replicas: readonly ReplicaLives[],
  { calls }: LivesCallers,
): LivesResult {
  const lives = replicas.flatMap((replica) => replica.lives);
  const runs = new Map<string, number>();
  for (const { replica } of lives) {
    for (const { requestId } of replica.runs) runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
  }
  const violations: string[] = [];
  for (const { requestId, isRepeatable, status } of calls) {
    const count = runs.get(requestId) ?? 0;
    if (!isRepeatable && count > 1) violations.push(`${requestId} ran ${count} times`);
    const isSaidNotRun = status !== undefined && NOT_RUN_STATUSES.has(status);
    if (isSaidNotRun && count > 0) violations.push(`${requestId} got ${status} and ran`);
  }
  for (const life of lives) violations.push(...workAfterLeaving(life));
  for (const replica of replicas) violations.push(...missingWork(replica, simulation.now));
  const answered = calls.filter(({ status }) => status === 200).length;
  const digest = simulation.eventDigest;
  return { seed, lives: lives.length, calls: calls.length, answered, violations, digest };
}

function workAfterLeaving({ replica, clockOffset, leftAt }: ReplicaLife): string[] {
  if (leftAt === undefined) return [];
  const { replicaId } = replica.options;
  return replica.runs
    .filter(({ at }) => at + clockOffset > leftAt + LEAVING_MS)
    .map(({ requestId }) => `${requestId} reached ${replicaId} after it had left`);
}

/** The last life of each replica is found and used, however its clock stepped. */
function missingWork({ current }: ReplicaLives, now: number): string[] {
  const { replica, clockOffset } = current;
  const hasWork = replica.runs.some(({ at }) => at + clockOffset > now - LAST_PART_MS);
  return hasWork ? [] : [`${replica.options.replicaId} got no work at the end`];
}
