import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import type { ReplicatedLogStatus } from '../../src/consensus/replicated-log.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { AuthenticatedListener } from '../../src/protocol/authenticated-listener.js';
import { dial } from '../../src/protocol/dial.js';
import {
  encodeRouteDocument,
  RouteDocumentRegister,
} from '../../src/routes/route-document-register.js';
import { GatewayQuota } from '../../src/tenants/gateway-quota.js';
import { QUOTA_CODEC } from '../../src/tenants/quota-messages.js';
import { QuotaServer } from '../../src/tenants/quota-server.js';
import { TenantDirectory } from '../../src/tenants/tenant-directory.js';
import type { QuotaDecision } from '../../src/tenants/tenant-quota.js';
import { SETTINGS } from './quota-replay.js';

const PORT = 7500;
const IDENTITY = { clusterId: 'quota', clusterKey: 'a-long-random-secret' };
const TENANT = { name: 'one', keys: ['key'], requestsPerSecond: 10, burst: 5 };
/** Requests of the tenant that are allowed in a window, including the tolerance. */
const ALLOWED = (10 * 5 + 5) * 1.1 + 20;

function registerWith(...tenants: object[]): RouteDocumentRegister {
  const register = new RouteDocumentRegister();
  const content = Buffer.from(JSON.stringify({ version: 1, routes: [], services: [], tenants }));
  register.apply(encodeRouteDocument({ version: 1, content }));
  return register;
}

/** Simulates controllers, whose leader the test sets, and gateways. */
class QuotaFleet {
  readonly simulation: Simulation;
  readonly controllers: SimulatedMachine[] = [];
  readonly servers: QuotaServer[] = [];
  /** Index of the leading controller; undefined while there is none. */
  leader: number | undefined = 0;
  term = 1;
  /** Time since every controller heard from a quorum, in milliseconds. */
  sinceQuorumMs = 0;

  private constructor(seed: number) {
    this.simulation = new Simulation(seed);
  }

  static async start(seed = 3, controllers = 2): Promise<QuotaFleet> {
    const fleet = new QuotaFleet(seed);
    for (let index = 0; index < controllers; index += 1) await fleet.startController(index);
    return fleet;
  }

  addressOf(index: number): string {
    return `${this.controllers[index]?.host ?? expect.fail('no controller')}:${PORT}`;
  }

  async startGateway(name: string, gateways = 1): Promise<[SimulatedMachine, GatewayQuota]> {
    const machine = this.simulation.createMachine(name, 'a');
    const quota = this.quotaOn(machine, gateways);
    await this.simulation.runFor(1_000);
    return [machine, quota];
  }

  quotaOn({ environment, name }: SimulatedMachine, gateways = 1): GatewayQuota {
    const quota = new GatewayQuota({
      environment,
      identity: { ...IDENTITY, name },
      settings: SETTINGS,
      telemetry: { logger: SILENT_LOGGER, registry: new Registry() },
      countGateways: () => gateways,
      controllers: () => this.controllers.map((_, index) => this.addressOf(index)),
    });
    quota.connectIfLimited(new TenantDirectory([TENANT]));
    return quota;
  }

  take(quota: GatewayQuota): Promise<QuotaDecision> {
    return this.simulation.settle(Promise.resolve(quota.client.take(TENANT)));
  }

  /**
   * Sends `perSecond` requests a second for `milliseconds`; returns the times at which requests
   * were admitted.
   */
  async sendAtRate(
    quota: GatewayQuota,
    perSecond: number,
    milliseconds: number,
  ): Promise<number[]> {
    const admitted: number[] = [];
    const end = this.simulation.now + milliseconds;
    while (this.simulation.now < end) {
      const recordAdmitted = ({ isAdmitted }: QuotaDecision): void => {
        if (isAdmitted) admitted.push(this.simulation.now);
      };
      void Promise.resolve(quota.client.take(TENANT)).then(recordAdmitted);
      await this.simulation.runFor(1_000 / perSecond);
    }
    return admitted;
  }

  private async startController(index: number): Promise<void> {
    const machine = this.simulation.createMachine(`controller-${index}`, 'a');
    this.controllers.push(machine);
    const { environment, host } = machine;
    const registry = new Registry();
    const server = new QuotaServer({
      clock: environment.clock,
      settings: SETTINGS,
      electionTimeoutMs: 1_000,
      log: { status: () => this.statusOf(index) },
      register: registerWith(TENANT),
      telemetry: { logger: SILENT_LOGGER, registry },
    });
    this.servers.push(server);
    await this.simulation.settle(
      AuthenticatedListener.listen(
        environment,
        { host, port: PORT },
        { ...IDENTITY, name: `controller-${index}` },
        { quota: (connection, peer) => server.serve(connection, peer) },
        registry,
      ),
    );
  }

  private statusOf(index: number): ReplicatedLogStatus {
    return {
      memberId: `controller-${index}`,
      role: index === this.leader ? 'leader' : 'follower',
      term: this.term,
      leaderId: this.leader === undefined ? undefined : `controller-${this.leader}`,
      commitIndex: 1,
      knownCommitIndex: 1,
      appliedIndex: 1,
      lastIndex: 1,
      sinceQuorumMs: this.sinceQuorumMs,
      members: this.controllers.map((_, member) => ({
        memberId: `controller-${member}`,
        address: this.addressOf(member),
        voter: true,
      })),
      retiredIds: [],
    };
  }
}

function maximumInWindow(times: readonly number[]): number {
  const counts = times.map(
    (end) => times.filter((time) => time > end - 5_000 && time <= end).length,
  );
  return Math.max(0, ...counts);
}

describe('connection to the quota owner', () => {
  it('finds the owner through another controller, and enforces the limit', async () => {
    const fleet = await QuotaFleet.start();
    fleet.leader = 1;
    const [, quota] = await fleet.startGateway('gateway-1');
    const admitted = await fleet.sendAtRate(quota, 80, 12_000);
    expect(maximumInWindow(admitted)).toBeLessThanOrEqual(ALLOWED);
    expect(admitted.length).toBeGreaterThan(10 * 12 * 0.97);
    expect(fleet.servers[1]?.usage()?.[0]?.refused).toBeGreaterThan(0);
    expect(fleet.servers[0]?.usage()).toBeUndefined();
    expect(fleet.servers[0]?.ownerId).toBe('controller-1');
  });

  it.each([
    ['killed', (fleet: QuotaFleet): void => fleet.controllers[0]?.crash()],
    ['without power', (fleet: QuotaFleet): void => fleet.controllers[0]?.crash({ power: true })],
    ['frozen', (fleet: QuotaFleet): void => fleet.controllers[0]?.freeze(20_000)],
    [
      'isolated by a partition',
      (fleet: QuotaFleet): void => {
        fleet.simulation.cut({ from: { machine: 'controller-0' } });
        fleet.simulation.cut({ to: { machine: 'controller-0' } });
      },
    ],
  ])('continues with the next owner when the present one is %s', async (_, fail) => {
    const fleet = await QuotaFleet.start();
    const [, quota] = await fleet.startGateway('gateway-1', 87);
    const before = await fleet.sendAtRate(quota, 40, 6_000);
    fail(fleet);
    fleet.leader = undefined;
    const during = await fleet.sendAtRate(quota, 40, 1_500);
    fleet.leader = 1;
    fleet.term = 2;
    const after = await fleet.sendAtRate(quota, 40, 10_000);
    expect(maximumInWindow([...before, ...during, ...after])).toBeLessThanOrEqual(ALLOWED);
    expect(after.length).toBeGreaterThan(80);
  });

  it('gets no tokens from a leader that has not heard from a quorum recently', async () => {
    const fleet = await QuotaFleet.start();
    const [, quota] = await fleet.startGateway('gateway-1', 1_000_000);
    expect(await fleet.take(quota)).toEqual({ isAdmitted: true });
    // Shorter than the election timeout, so that no other leader can have been elected yet.
    fleet.sinceQuorumMs = 750;
    expect(await fleet.take(quota)).toMatchObject({ isAdmitted: false });
    expect(fleet.servers[0]?.usage()).toBeUndefined();
    fleet.sinceQuorumMs = 0;
    await fleet.simulation.runFor(2_000);
    expect(await fleet.take(quota)).toEqual({ isAdmitted: true });
  });

  it('starts with an almost empty bucket in a new term, also at the same controller', async () => {
    const fleet = await QuotaFleet.start();
    const [, quota] = await fleet.startGateway('gateway-1', 1_000_000);
    await fleet.simulation.runFor(10_000);
    fleet.term = 2;
    const decisions = Array.from({ length: 30 }, () => Promise.resolve(quota.client.take(TENANT)));
    const taken = await fleet.simulation.settle(Promise.all(decisions));
    const admitted = taken.filter(({ isAdmitted }) => isAdmitted).length;
    expect(admitted).toBeGreaterThan(0);
    expect(admitted).toBeLessThanOrEqual(3);
  });

  it('holds a request that arrives without an owner until the next owner is found', async () => {
    const fleet = await QuotaFleet.start();
    const [, quota] = await fleet.startGateway('gateway-1', 1_000_000);
    fleet.controllers[0]?.crash();
    fleet.leader = undefined;
    await fleet.simulation.runFor(100);
    const decision = Promise.resolve(quota.client.take(TENANT));
    await fleet.simulation.runFor(500);
    fleet.leader = 1;
    fleet.term = 2;
    expect(await fleet.simulation.settle(decision)).toEqual({ isAdmitted: true });
  });

  it('refuses a request that waits for an owner by its deadline', async () => {
    const fleet = await QuotaFleet.start();
    const [, quota] = await fleet.startGateway('gateway-1', 1_000_000);
    fleet.controllers[0]?.crash();
    fleet.leader = undefined;
    await fleet.simulation.runFor(100);
    const { now } = fleet.simulation;
    const { clock } = fleet.simulation.machine('gateway-1').environment;
    const decision = quota.client.take(TENANT, clock.now() + 500);
    expect(await fleet.simulation.settle(Promise.resolve(decision))).toMatchObject({
      isAdmitted: false,
    });
    expect(fleet.simulation.now - now).toBeLessThanOrEqual(500);
  });

  it.each([
    ['that was just lost', 100],
    ['that is silent', 0],
  ])(
    'refuses a request with a short deadline in time while it waits for an owner %s',
    async (_, lostForMs) => {
      const fleet = await QuotaFleet.start();
      const [, quota] = await fleet.startGateway('gateway-1', 1_000_000);
      fleet.controllers[0]?.crash({ power: lostForMs === 0 });
      fleet.leader = undefined;
      await fleet.simulation.runFor(lostForMs);
      const { clock } = fleet.simulation.machine('gateway-1').environment;
      for (const shortMs of [30, 30, 60]) {
        const takenAt = clock.now();
        const decision = quota.client.take(TENANT, takenAt + shortMs);
        const decided = await fleet.simulation.settle(Promise.resolve(decision));
        expect(decided).toMatchObject({ isAdmitted: false, isUndecided: true });
        expect(clock.now() - takenAt).toBeLessThanOrEqual(shortMs + 1);
      }
    },
  );

  it('refuses requests at once with a retry time when no owner was found for long', async () => {
    const fleet = await QuotaFleet.start();
    fleet.leader = undefined;
    const [, quota] = await fleet.startGateway('gateway-1', 1_000_000);
    await fleet.simulation.runFor(5_000);
    const decision = quota.client.take(TENANT);
    if (decision instanceof Promise || decision.isAdmitted)
      return expect.fail('expected a refusal at once');
    expect(decision.retryAfterMs).toBeGreaterThan(0);
  });

  it('admits no more than the limit at a gateway that restarts', async () => {
    const fleet = await QuotaFleet.start();
    const [machine, quota] = await fleet.startGateway('gateway-1', 8);
    const before = await fleet.sendAtRate(quota, 80, 6_000);
    machine.restart({ keepDisk: true });
    const after = await fleet.sendAtRate(fleet.quotaOn(machine, 8), 80, 6_000);
    expect(maximumInWindow([...before, ...after])).toBeLessThanOrEqual(ALLOWED);
    expect(after.length).toBeGreaterThan(40);
  });

  it('contacts no controller while no tenant has a limit', async () => {
    const fleet = await QuotaFleet.start();
    const { environment } = fleet.simulation.createMachine('gateway-1', 'a');
    const quota = new GatewayQuota({
      environment,
      identity: { ...IDENTITY, name: 'gateway-1' },
      settings: SETTINGS,
      telemetry: { logger: SILENT_LOGGER, registry: new Registry() },
      countGateways: () => 1,
      controllers: () => expect.fail('expected no search for a controller'),
    });
    const free = { ...TENANT, requestsPerSecond: 0 };
    quota.connectIfLimited(new TenantDirectory([free]));
    expect(quota.client.take(free)).toEqual({ isAdmitted: true });
    await fleet.simulation.runFor(2_000);
  });
});

describe('malformed frames', () => {
  const target = (fleet: QuotaFleet): Parameters<typeof dial>[2] => ({
    address: { host: fleet.controllers[0]?.host ?? '', port: PORT },
    role: 'quota',
    connectTimeout: 500,
  });
  const round = { kind: 'round', round: 1 } as const;
  const tokenRequest = {
    kind: 'ask',
    tenant: 'one',
    spent: 0,
    returned: 0,
    waiting: 1,
    ahead: 0,
    refused: 0,
    refusedWithoutOwner: 0,
  } as const;

  it.each([
    ['not a message', Uint8Array.of(255)],
    ['no round message', QUOTA_CODEC.encode(tokenRequest)],
    [
      'a message of another kind',
      QUOTA_CODEC.encodeBatch([round, { kind: 'redirect', owner: '' }]),
    ],
    ['a negative count', QUOTA_CODEC.encodeBatch([round, { ...tokenRequest, returned: -5 }])],
    ['a truncated message', QUOTA_CODEC.encodeBatch([round, tokenRequest]).subarray(0, 6)],
  ])('close the connection of the gateway that sent them: %s', async (_, frame) => {
    const fleet = await QuotaFleet.start();
    const { environment } = fleet.simulation.createMachine('stranger', 'a');
    const identity = { ...IDENTITY, name: 'stranger' };
    const connection = await fleet.simulation.settle(dial(environment, identity, target(fleet)));
    await fleet.simulation.settle(connection.send(frame));
    expect(await fleet.simulation.settle(connection.receive())).toBeUndefined();
    const [, quota] = await fleet.startGateway('gateway-1');
    expect(await fleet.take(quota)).toEqual({ isAdmitted: true });
  });

  it('from an owner close its connection, and another controller is contacted', async () => {
    const fleet = await QuotaFleet.start();
    const malformedOwner = fleet.simulation.createMachine('liar', 'a');
    await fleet.simulation.settle(
      AuthenticatedListener.listen(
        malformedOwner.environment,
        { host: malformedOwner.host, port: PORT },
        { ...IDENTITY, name: 'liar' },
        {
          quota: async (connection) => {
            await connection.receive();
            await connection.send(Uint8Array.of(7));
            await connection.closed;
          },
        },
        new Registry(),
      ),
    );
    fleet.controllers.unshift(malformedOwner);
    fleet.leader = 1;
    const [, quota] = await fleet.startGateway('gateway-1');
    await fleet.simulation.runFor(2_000);
    expect(await fleet.take(quota)).toEqual({ isAdmitted: true });
  });
});
