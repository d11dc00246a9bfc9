import { describe, expect, it } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { GatewayHarness, type TestRoute } from './gateway-harness.js';

const SERVICES = ['archive', 'ledger', 'search'];
const MACHINES = 6;
const ENDS = 12;
const ADDRESS_REUSE_MS = 2_200;
const LONGEST_DELAY_MS = 8_000;
/** After the last late heartbeat: addresses are checked, and failed replicas tried again. */
const SETTLE_MS = 20_000;
const CALLS = 60;

function routesTo(services: readonly string[]): TestRoute[] {
  return services.map((service) => ({ pathPrefix: `/${service}/`, service }));
}

/** Machines whose replicas crash, and whose addresses go to replicas of any service. */
class ReusedAddresses {
  private readonly current = new Map<SimulatedMachine, ExchangeReplica>();
  private crashed = 0;

  private constructor(private readonly harness: GatewayHarness) {}

  static async start(seed: number): Promise<ReusedAddresses> {
    const harness = await GatewayHarness.start(seed);
    const run = new ReusedAddresses(harness);
    for (let index = 0; index < MACHINES; index += 1) {
      const replica = await harness.addReplica(run.drawService());
      run.current.set(harness.machineOf(replica), replica);
    }
    await harness.putRoutes(routesTo(SERVICES.slice(0, 2)));
    return run;
  }

  /** Crashes the replica of one machine and starts another one there. */
  async replaceOne(): Promise<void> {
    const { simulation } = this.harness;
    const machines = [...this.current.keys()];
    const machine = machines[this.draw(0, machines.length - 1)] ?? expect.fail('no machine');
    for (let late = this.draw(0, 2); late > 0; late -= 1) this.deliverLate(machine);
    await simulation.runFor(this.draw(0, 2_000));
    machine.crash();
    await simulation.runFor(ADDRESS_REUSE_MS);
    this.current.set(machine, await this.harness.addReplicaOn(machine, this.drawService()));
    await simulation.runFor(this.draw(0, 2_000));
  }

  /** Has a replica that crashed on the machine register seconds later, and leave in some cases. */
  private deliverLate(machine: SimulatedMachine): void {
    const { simulation } = this.harness;
    this.crashed += 1;
    const replicaId = `crashed-${this.crashed}`;
    const registeredAt = simulation.now + this.draw(0, LONGEST_DELAY_MS);
    const service = this.drawService();
    simulation.at(registeredAt, () => {
      void this.harness.sendHeartbeat({ replicaId, service, machine });
    });
    if (this.draw(0, 2) > 0) return;
    simulation.at(registeredAt + this.draw(0, 1_000), () => {
      void this.harness.sendDeregistration(replicaId);
    });
  }

  /** Routes requests to the last two services; returns the replicas of these that got none. */
  async replicasWithoutRequests(): Promise<string[]> {
    const { harness } = this;
    const { simulation } = harness;
    const services = SERVICES.slice(1);
    await simulation.runFor(LONGEST_DELAY_MS);
    await harness.putRoutes(routesTo(services));
    await simulation.runFor(SETTLE_MS);
    const replicas = [...this.current.values()].filter(({ options }) =>
      services.includes(options.service),
    );
    const runsBefore = new Map(replicas.map((replica) => [replica, replica.runs.length]));
    for (let number = 0; number < CALLS; number += 1) {
      for (const service of services) {
        void harness.send({ path: `/${service}/${number}`, id: `${service}-${number}` });
      }
      await simulation.runFor(5);
    }
    await simulation.runFor(2_000);
    return replicas
      .filter((replica) => replica.runs.length === runsBefore.get(replica))
      .map(({ options }) => options.replicaId);
  }

  private drawService(): string {
    return SERVICES[this.draw(0, SERVICES.length - 1)] ?? expect.fail('no service');
  }

  private draw(least: number, most: number): number {
    return this.harness.simulation.random.nextInteger(least, most);
  }
}

// Guards against replicas that get no request for good, whoever registered at their address before or
// after them.
describe('addresses that change hands while heartbeats are late', () => {
  it.each([1, 2, 3, 4, 5, 6, 7, 8])('leave no replica without requests (seed %i)', async (seed) => {
    const run = await ReusedAddresses.start(seed);
    for (let end = 0; end < ENDS; end += 1) await run.replaceOne();
    expect(await run.replicasWithoutRequests()).toEqual([]);
  });
});
