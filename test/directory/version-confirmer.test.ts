import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { NO_CONTROL_STREAM_FAULTS } from '../../src/control-stream/control-stream-faults.js';
import { SharedReadBarrier } from '../../src/control-stream/shared-read-barrier.js';
import { NO_DOCUMENT } from '../../src/directory/directory-messages.js';
import {
  CONFIRMATION_INTERVAL_MS,
  VersionConfirmer,
} from '../../src/directory/version-confirmer.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import type { RouteTable } from '../../src/routes/route-table.js';
import type { Clock } from '../../src/seams/clock.js';
import { LeaseKeeper } from '../../src/tenants/lease-keeper.js';
import { LeaseRenewal } from '../../src/tenants/lease-renewal.js';

const BARRIER_MS = 20;
const LINK_MS = 1;
const BOUND_MS = 5_000;

/** A controller whose read barriers succeed while it has a quorum. */
class ConfirmingController {
  version: number | undefined = 1;
  hasQuorum = true;
  barriers = 0;
  readonly answered: { number: number; version: number }[] = [];
  readonly confirmer: VersionConfirmer;

  constructor(private readonly clock: Clock) {
    const log = { readBarrier: () => this.readBarrier() };
    this.confirmer = new VersionConfirmer({
      clock,
      barrier: new SharedReadBarrier(log, clock, NO_CONTROL_STREAM_FAULTS),
      version: () => this.version,
      registry: new Registry(),
    });
  }

  ask(number: number): void {
    this.confirmer.requestConfirmation(number, ({ version }) => {
      this.answered.push({ number, version });
    });
  }

  private async readBarrier(): Promise<void> {
    this.barriers += 1;
    await this.clock.sleep(BARRIER_MS);
    if (!this.hasQuorum) throw new Error('no quorum');
  }
}

function createController(): { simulation: Simulation; controller: ConfirmingController } {
  const simulation = new Simulation(7);
  const { clock } = simulation.createMachine('controller', 'a').environment;
  return { simulation, controller: new ConfirmingController(clock) };
}

describe('a request to confirm the version in force', () => {
  it('is answered after a barrier, with the version known at that time', async () => {
    const { simulation, controller } = createController();
    controller.ask(4);
    await simulation.runFor(BARRIER_MS / 2);
    expect(controller.answered).toEqual([]);
    controller.version = 2;
    await simulation.runFor(BARRIER_MS);
    expect(controller.answered).toMatchObject([{ number: 4, version: 2 }]);
  });

  it('is answered with no version while there is no document', async () => {
    const { simulation, controller } = createController();
    controller.version = undefined;
    controller.ask(1);
    await simulation.runFor(2 * BARRIER_MS);
    expect(controller.answered).toMatchObject([{ version: NO_DOCUMENT }]);
  });

  it('is not answered by a barrier that began before it', async () => {
    const { simulation, controller } = createController();
    controller.ask(1);
    await simulation.runFor(BARRIER_MS / 2);
    controller.ask(2);
    await simulation.runFor(BARRIER_MS);
    expect(controller.answered.map(({ number }) => number)).toEqual([1]);
    await simulation.runFor(CONFIRMATION_INTERVAL_MS + BARRIER_MS);
    expect(controller.answered.map(({ number }) => number)).toEqual([1, 2]);
    expect(controller.barriers).toBe(2);
  });

  it('is not answered without a quorum', async () => {
    const { simulation, controller } = createController();
    controller.hasQuorum = false;
    controller.ask(1);
    await simulation.runFor(10_000);
    expect(controller.answered).toEqual([]);
  });

  it('shares a barrier with other requests', async () => {
    const { simulation, controller } = createController();
    for (let number = 0; number < 500; number += 1) controller.ask(number);
    await simulation.runFor(CONFIRMATION_INTERVAL_MS + 2 * BARRIER_MS);
    expect(controller.answered.length).toBe(500);
    expect(controller.barriers).toBeLessThanOrEqual(2);
  });
});

/** Gateways that start together and send their requests to one controller each. */
class RequestingFleet {
  readonly simulation = new Simulation(7);
  readonly controllers: ConfirmingController[];
  private readonly leases: LeaseRenewal[] = [];
  /** When each request was sent. Clock readings. */
  readonly requestedAt: number[] = [];
  private readonly clock: Clock;

  constructor(gateways: number, controllers: number, needsKeys = true) {
    const { clock, random } = this.simulation.createMachine('fleet', 'a').environment;
    this.clock = clock;
    this.controllers = Array.from({ length: controllers }, () => new ConfirmingController(clock));
    for (let index = 0; index < gateways; index += 1) {
      const keeper = new LeaseKeeper({ clock, random, boundMs: BOUND_MS });
      const controller = this.controllers[index % controllers];
      const lease: LeaseRenewal = new LeaseRenewal({
        clock,
        keeper,
        send: ({ number }) => this.send(number, controller, () => lease),
        logger: SILENT_LOGGER,
        registry: new Registry(),
        stopped: new AbortController().signal,
      });
      lease.setRouteTable(createTable(needsKeys));
      this.leases.push(lease);
      void lease.run();
    }
  }

  get held(): number {
    return this.leases.filter(({ isHeld }) => isHeld).length;
  }

  get barriers(): number {
    return this.controllers.reduce((sum, { barriers }) => sum + barriers, 0);
  }

  private send(
    number: number,
    controller: ConfirmingController | undefined,
    lease: () => LeaseRenewal,
  ): boolean {
    this.requestedAt.push(this.clock.now());
    this.clock.setTimer(LINK_MS, () =>
      controller?.confirmer.requestConfirmation(number, ({ version }) => {
        this.clock.setTimer(LINK_MS, () => lease().handleConfirmation(number, version));
      }),
    );
    return true;
  }
}

function createTable(needsKeys: boolean): RouteTable {
  return { version: 1, needsKeys } as RouteTable;
}

describe.each([
  { gateways: 87, controllers: 3, requestsPerSecond: 120, barriersPerSecond: 60 },
  { gateways: 1_100, controllers: 9, requestsPerSecond: 1_500, barriersPerSecond: 180 },
])('$gateways gateways with a bound of 5 s', (fleetSize) => {
  const { gateways, controllers, requestsPerSecond, barriersPerSecond } = fleetSize;
  const SECONDS = 20;

  it('send few requests, cause few barriers, and hold their leases throughout', async () => {
    const fleet = new RequestingFleet(gateways, controllers);
    await fleet.simulation.runFor(1_000);
    const [requestsBefore, barriersBefore] = [fleet.requestedAt.length, fleet.barriers];
    for (let second = 0; second < SECONDS; second += 1) {
      await fleet.simulation.runFor(1_000);
      expect(fleet.held).toBe(gateways);
    }
    const requests = (fleet.requestedAt.length - requestsBefore) / SECONDS;
    const barriers = (fleet.barriers - barriersBefore) / SECONDS;
    expect(requests).toBeGreaterThan(gateways);
    expect(requests).toBeLessThan(requestsPerSecond);
    expect(barriers).toBeLessThanOrEqual(barriersPerSecond);
  });

  it('obtain their first leases at once with few barriers when they start together', async () => {
    const fleet = new RequestingFleet(gateways, controllers);
    await fleet.simulation.runFor(2 * CONFIRMATION_INTERVAL_MS + 2 * BARRIER_MS);
    expect(fleet.held).toBe(gateways);
    expect(fleet.barriers).toBeLessThanOrEqual(3 * controllers);
  });

  it('send no requests while no route needs a key', async () => {
    const fleet = new RequestingFleet(gateways, controllers, false);
    await fleet.simulation.runFor(10_000);
    expect(fleet.requestedAt).toEqual([]);
  });
});
