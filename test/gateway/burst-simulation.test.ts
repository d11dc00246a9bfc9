import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import {
  ALL_MECHANISMS,
  type GatewayMechanisms,
} from '../../src/configuration/gateway-mechanisms.js';
import { DirectoryKind, ReplicaDirectory } from '../../src/directory/replica-directory.js';
import { RegisteredState } from '../../src/directory/replica-entry.js';
import type { CallerRequest } from '../../src/gateway/caller-request.js';
import { createGatewayContext } from '../../src/gateway/create-gateway-context.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { forwardSingle } from '../../src/gateway/forward-single.js';
import type { GatewayContext } from '../../src/gateway/gateway-context.js';
import { ZoneTraffic } from '../../src/observability/zone-traffic.js';
import { ZoneRegions } from '../../src/gateway/zone-regions.js';
import { readRouteDocument } from '../../src/routes/read-route-document.js';
import { RouteTable } from '../../src/routes/route-table.js';
import type { Clock } from '../../src/seams/clock.js';
import { ModelFault, ReplicaModel, senderTo } from './replica-model.js';

const GATEWAYS = 87;
const REPLICAS = 9;
const SLOTS = 2;
const WORK_MS = 114;
const TARGET_MS = 1_002;
const DEADLINE_MS = 8_012;
/** The usual request rate as a fraction of the replicas' capacity. */
const USUAL_LOAD_FRACTION = 0.5;
const BURST_FACTOR = 2.6;
const BURST_MS = 6_000;
const DURATION_MS = 8_000;

const TABLE = new RouteTable(
  readRouteDocument(
    Buffer.from(
      JSON.stringify({
        version: 1,
        routes: [
          {
            name: 'ledger',
            host: 'desk.example',
            pathPrefix: '/ledger/',
            execution: 'repeatable',
            timeoutMs: DEADLINE_MS,
            targetLatencyMs: TARGET_MS,
            maximumAttempts: 2,
            service: 'ledger',
          },
        ],
        services: [{ name: 'ledger', maximumConnections: 110 }],
      }),
    ),
  ),
);

interface BurstResult {
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Longest time to a refusal. Milliseconds. */
  readonly slowestRefusal: number;
}

interface Scenario {
  /** Duration of work at the replica with this index. Milliseconds. */
  readonly workMs: (index: number) => number;
  readonly fault: (index: number) => ModelFault;
}

function createContext(
  environment: GatewayContext['environment'],
  models: ReadonlyMap<string, ReplicaModel>,
  mechanisms: GatewayMechanisms,
): GatewayContext {
  const directory = new ReplicaDirectory(environment.clock, DirectoryKind.ReceivesChanges);
  const silent = { info: () => undefined, warn: () => undefined, error: () => undefined };
  const logger = { ...silent, child: () => logger };
  const context = createGatewayContext({
    name: 'gateway',
    environment,
    headers: DEFAULT_EXCHANGE_HEADERS,
    telemetry: { logger, registry: new Registry() },
    traffic: new ZoneTraffic('a', new Registry()),
    directory,
    mechanisms,
    placement: { zone: 'a', otherZoneCost: 0 },
    regions: new ZoneRegions({}, { zone: 'a', region: 'r' }),
    secondSends: { ratio: 0.2, slack: 214, windowMs: 10_000 },
    lease: { isHeld: true, retryAfterMs: 0 },
    quota: { take: () => ({ isAdmitted: true }), returnToken: () => undefined },
    countGateways: () => GATEWAYS,
    reportEvidence: () => false,
  });
  for (const [index, replicaId] of [...models.keys()].entries()) {
    directory.report({
      replicaId,
      service: 'ledger',
      address: `10.1.0.${index}:80`,
      zone: 'a',
      capacity: SLOTS,
      state: RegisteredState.Ready,
      sequence: 1,
      warmupMs: 0,
    });
  }
  const sender = senderTo(environment.clock, models) as GatewayContext['sender'];
  return { ...context, sender };
}

function requestAt(clock: Clock, id: string): CallerRequest {
  const route = TABLE.match('desk.example', '/ledger/1');
  if (route === undefined) return expect.fail('no route');
  return {
    id,
    method: 'GET',
    target: '/ledger/1',
    headers: {},
    body: new Uint8Array(0),
    fingerprint: id,
    signal: new AbortController().signal,
    table: TABLE,
    route,
    tenant: undefined,
    receivedAt: clock.now(),
    deadline: clock.now() + DEADLINE_MS,
  };
}

/** Simulates a burst of callers that retry once after a refusal, after the delay they got. */
async function simulateBurst(
  { workMs, fault }: Scenario,
  changed: Partial<GatewayMechanisms>,
  seed = 3,
): Promise<BurstResult> {
  const simulation = new Simulation(seed);
  const arrivals = seededRandom(seed, 'arrivals');
  const returns = seededRandom(seed, 'returns');
  const { environment } = simulation.createMachine('gateways', 'a');
  const { clock } = environment;
  const models = new Map(
    Array.from({ length: REPLICAS }, (_, index) => {
      const model = new ReplicaModel(clock, workMs(index));
      model.fault = fault(index);
      return [`replica-${index}`, model] as const;
    }),
  );
  const mechanisms = { ...ALL_MECHANISMS, ...changed };
  const contexts = Array.from({ length: GATEWAYS }, () =>
    createContext(environment, models, mechanisms),
  );
  const counts = { requests: 0, inTime: 0, late: 0, refused: 0, failed: 0, slowestRefusal: 0 };
  const ask = async (id: string, first: number): Promise<void> => {
    const sentAt = clock.now();
    const deadline = sentAt + DEADLINE_MS;
    for (const attempt of [1, 2]) {
      const context = contexts[attempt === 1 ? first : returns.nextInteger(0, GATEWAYS - 1)];
      if (context === undefined) return;
      const askedAt = clock.now();
      const request = { ...requestAt(clock, `${id}-${attempt}`), deadline };
      const { status, headers = {} } = await forwardSingle(context, request, 'ledger');
      const isInTime = clock.now() - sentAt <= TARGET_MS;
      if (status === 200) counts[isInTime ? 'inTime' : 'late'] += 1;
      else if (status !== 503) counts.failed += 1;
      if (status !== 503) return;
      counts.slowestRefusal = Math.max(counts.slowestRefusal, clock.now() - askedAt);
      const retryDelay = Number(headers['retry-after']) * 1_000;
      await clock.sleep(Math.min(retryDelay, (deadline - clock.now()) / 3));
    }
    counts.refused += 1;
  };
  const usualRate = (USUAL_LOAD_FRACTION * REPLICAS * SLOTS) / WORK_MS;
  const asked: Promise<void>[] = [];
  for (let now = 0; now < DURATION_MS; now = simulation.now) {
    const isBurst = now > 1_000 && now < 1_000 + BURST_MS;
    const rate = usualRate * (isBurst ? BURST_FACTOR : 1);
    await simulation.runFor(-Math.log(1 - arrivals.nextFloat()) / rate);
    counts.requests += 1;
    asked.push(ask(`call-${counts.requests}`, arrivals.nextInteger(0, GATEWAYS - 1)));
  }
  await simulation.settle(Promise.all(asked));
  return counts;
}

const BEFORE = { boundedConnecting: false, expectedWait: false, endedReplicas: false };

async function compare(name: string, scenario: Scenario): Promise<[BurstResult, BurstResult]> {
  const before = await simulateBurst(scenario, BEFORE);
  const after = await simulateBurst(scenario, { expectedWait: true });
  console.log(name, 'before', JSON.stringify(before), 'after', JSON.stringify(after));
  return [before, after];
}

const USUAL: Scenario = { workMs: () => WORK_MS, fault: () => ModelFault.None };

function withFault(fault: ModelFault): Scenario {
  return { ...USUAL, fault: (index) => (index % 3 === 0 ? fault : ModelFault.None) };
}

describe('a burst to one service, simulated through many gateways', () => {
  const scenarios: readonly [string, Scenario][] = [
    ['identical replicas', USUAL],
    [
      'a third of the replicas eight times slower',
      { ...USUAL, workMs: (index) => (index % 3 === 0 ? 8 : 1) * WORK_MS },
    ],
    ['no load reports', { ...USUAL, fault: () => ModelFault.Silent }],
    ['load reports that are always idle', { ...USUAL, fault: () => ModelFault.ReportsIdle }],
    ['a third of the replicas always reporting full', withFault(ModelFault.ReportsFull)],
    ['a third of the replicas never answering', withFault(ModelFault.Hangs)],
    ['a third of the replicas dropping SYN packets', withFault(ModelFault.DropsConnections)],
  ];
  it.each(scenarios)(
    'with %s answers more requests in time than without the bounds',
    async (...scenario) => {
      const [before, after] = await compare(...scenario);
      expect(after.requests).toBe(before.requests);
      expect(after.inTime).toBeGreaterThan(before.inTime);
      expect(after.slowestRefusal).toBeLessThanOrEqual(TARGET_MS / 2 + 5);
    },
  );
});
