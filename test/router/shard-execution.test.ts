import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import { ReplicaRegistry } from '../../src/membership/replica-registry.js';
import { PureRandomSource } from '../../src/node/pure-random-source.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import {
  createServicePolicies,
  type ServicePolicies,
} from '../../src/policies/service-policies.js';
import { AttemptTally } from '../../src/router/attempt-tally.js';
import type { ExecutionResult } from '../../src/router/execution-result.js';
import { IdentifierSequence } from '../../src/router/identifier-sequence.js';
import type { QueryContext } from '../../src/router/query-context.js';
import { QueryExecution } from '../../src/router/query-execution.js';
import type { RouterContext } from '../../src/router/router-context.js';
import { NO_ROUTER_FAULTS } from '../../src/router/router-faults.js';
import { RouterMetrics } from '../../src/router/router-metrics.js';
import { ServiceRuntime } from '../../src/router/service-runtime.js';
import { DEFAULT_SERVICE_SETTINGS } from '../../src/settings/service-settings.js';
import { FakeBackend } from './support/fake-backend.js';
import { FakeNetwork } from './support/fake-network.js';
import { createLayout, createState, SERVICE } from './support/router-harness.js';
import { VirtualClock } from './support/virtual-clock.js';

const HEDGE_DELAY_MS = 20;
/** Node warns of more than ten listeners on one signal unless told of them. */
const SHARDS_BEYOND_DEFAULT_LISTENERS = 12;

/** One execution over fake back ends, with policies that a test writes itself. */
class ExecutionHarness {
  readonly clock = new VirtualClock();
  readonly tally = new AttemptTally();
  readonly backends: FakeBackend[] = [];
  hedgesLeft = 1;
  /** Milliseconds to wait once coverage suffices. */
  furtherWait = Infinity;
  /** What the completion policy was told. Milliseconds. */
  readonly recordedReplies: number[] = [];
  readonly recordedUnfinished: number[] = [];
  readonly registry: ReplicaRegistry;
  private readonly router: RouterContext;
  private readonly service: ServiceRuntime;

  constructor(shards: number, requiredCoverage = 1) {
    const options = { shards, replicas: 2 };
    const definitions = createLayout(1, options).shards.flatMap(({ replicas }) => replicas);
    for (const { replicaId, address } of definitions) {
      this.backends.push(new FakeBackend(replicaId, address, this.clock));
    }
    const network = new FakeNetwork(new Map(this.backends.map((each) => [each.address, each])));
    const environment = { clock: this.clock, network, random: new PureRandomSource(3) };
    const faults = NO_ROUTER_FAULTS;
    this.registry = new ReplicaRegistry(environment, {
      observer: 'router-1',
      maximumReplyBytes: 1_024,
      logger: SILENT_LOGGER,
      faults,
    });
    const { registry } = this;
    registry.synchronize(new Map(definitions.map((each) => [each.replicaId, each])));
    const identifiers = new IdentifierSequence('router-1', environment.random);
    const metrics = new RouterMetrics(new Registry());
    this.router = { environment, registry, identifiers, metrics, faults };
    const settings = { ...DEFAULT_SERVICE_SETTINGS, requiredCoverage };
    const definition = createState(1, options).services[SERVICE];
    if (definition === undefined) throw new Error('no service');
    this.service = new ServiceRuntime(1, definition, settings, this.policies(), registry);
  }

  async run(repeatable = true): Promise<ExecutionResult> {
    await this.clock.advance(50);
    const { requiredCoverage } = this.service.settings;
    const receivedAt = this.clock.now();
    const query: QueryContext = {
      request: { requestId: 'request-1', repeatable, team: 'default', query: 1 },
      queryText: '1',
      service: this.service,
      settingsStale: false,
      backendRequestId: 'request-1~router-1',
      requiredCoverage,
      receivedAt,
      deadlineAt: receivedAt + 1_000,
    };
    const request = { requiredCoverage, key: undefined, excluded: new Set<string>() };
    const plan = this.service.planner.plan(request);
    if (plan === undefined) throw new Error('no plan');
    const execution = new QueryExecution(this.router, query, plan, this.tally);
    return this.clock.runUntil(execution.run(new AbortController().signal));
  }

  private policies(): ServicePolicies {
    const random = new PureRandomSource(5);
    const standard = createServicePolicies(DEFAULT_SERVICE_SETTINGS, { clock: this.clock, random });
    return {
      ...standard,
      replicaSelector: { select: ([first]) => first },
      hedge: {
        recordFirstAttempt: () => undefined,
        recordLatency: () => undefined,
        recordUnfinished: () => undefined,
        hedgeDelay: () => HEDGE_DELAY_MS,
        tryTakeBudget: () => (this.hedgesLeft -= 1) >= 0,
      },
      completion: {
        recordReply: (sinceAsked) => this.recordedReplies.push(sinceAsked),
        recordUnfinished: (sinceAsked) => this.recordedUnfinished.push(sinceAsked),
        furtherWait: () => this.furtherWait,
      },
    };
  }
}

function ledgerSizes(bench: ExecutionHarness): number[] {
  return bench.backends.map(({ attempts: ledger }) => ledger.length);
}

function firstBackend(bench: ExecutionHarness): FakeBackend {
  const [first] = bench.backends;
  if (first === undefined) throw new Error('no back end');
  return first;
}

describe('a hedge', () => {
  it('goes to a sibling after the delay; the loser is cancelled at once', async () => {
    const bench = new ExecutionHarness(2);
    firstBackend(bench).latency = Infinity;
    for (const backend of bench.backends.slice(2)) backend.latency = 100;
    const { sufficient } = await bench.run();
    expect(sufficient).toBe(true);
    expect(bench.tally).toMatchObject({ primary: 2, hedges: 1, retries: 0 });
    expect(ledgerSizes(bench)).toEqual([1, 1, 1, 0]);
    expect(bench.backends[1]?.attempts[0]?.at).toBe(50 + HEDGE_DELAY_MS);
    expect(firstBackend(bench).attempts[0]?.cancelledAt).toBe(50 + HEDGE_DELAY_MS + 1);
  });

  it('leaves the loser known to take at least as long as it was waited for', async () => {
    const bench = new ExecutionHarness(1);
    const slow = firstBackend(bench);
    slow.latency = Infinity;
    await bench.run();
    const record = bench.registry.get(slow.replicaId);
    expect(record?.smoothedLatency).toBe(HEDGE_DELAY_MS + 1);
  });

  it('is not sent when the first attempt is quick, or the budget is spent', async () => {
    const quick = new ExecutionHarness(1);
    firstBackend(quick).latency = HEDGE_DELAY_MS - 1;
    await quick.run();
    expect(quick.tally.hedges).toBe(0);
    const poor = new ExecutionHarness(1);
    poor.hedgesLeft = 0;
    firstBackend(poor).latency = 100;
    await poor.run();
    expect(poor.tally.hedges).toBe(0);
  });

  it('is never sent for a request that is not repeatable', async () => {
    const bench = new ExecutionHarness(1);
    firstBackend(bench).latency = 100;
    await bench.run(false);
    expect(ledgerSizes(bench)).toEqual([1, 0]);
  });

  it('that fails leaves the first attempt its chance', async () => {
    const bench = new ExecutionHarness(1);
    firstBackend(bench).latency = 100;
    const [, second] = bench.backends;
    if (second !== undefined) second.down = true;
    expect((await bench.run()).sufficient).toBe(true);
    expect(bench.tally).toMatchObject({ primary: 1, hedges: 1, retries: 0 });
  });
});

describe('the completion policy', () => {
  it('ends the wait for the rest once coverage suffices', async () => {
    const bench = new ExecutionHarness(2, 0.5);
    bench.hedgesLeft = 0;
    bench.furtherWait = 30;
    const { latency } = firstBackend(bench);
    firstBackend(bench).latency = Infinity;
    const { coverage, endReason: ending } = await bench.run();
    expect(ending).toBe('sufficient');
    expect(bench.clock.now()).toBe(50 + latency + bench.furtherWait);
    expect(coverage.missing).toEqual([{ shardId: 'shard-0', reason: 'not_waited_for' }]);
    expect(bench.recordedReplies).toEqual([latency]);
    expect(bench.recordedUnfinished).toEqual([latency + bench.furtherWait]);
    expect(firstBackend(bench).attempts[0]?.cancelled).toBe(true);
  });
});

describe('a query of many shards', () => {
  it('waits for connections without a warning of the runtime', async () => {
    const warnings: string[] = [];
    const onWarning = ({ name }: Error): void => void warnings.push(name);
    process.on('warning', onWarning);
    const bench = new ExecutionHarness(SHARDS_BEYOND_DEFAULT_LISTENERS);
    for (const { replicaId } of bench.backends) {
      const record = bench.registry.get(replicaId);
      while (record?.hasRoom === true) record.beginAttempt();
    }
    expect((await bench.run()).endReason).toBe('deadline');
    await new Promise((resolve) => setImmediate(resolve));
    process.off('warning', onWarning);
    expect(warnings).toEqual([]);
  });
});
