import { describe, expect, it } from 'vitest';
import { Simulation, SimulationTimeoutError } from '../../../lab/simulation/simulation.js';
import type { DurableEnvironment } from '../../../src/seams/environment.js';
import { CLIENT_OPTIONS, LISTEN_OPTIONS } from './support.js';

/** A server that answers after a random while, and clients that keep asking it; with faults. */
async function runBusySimulation(seed: number): Promise<string> {
  const simulation = new Simulation(seed);
  const server = simulation.createMachine('server', 'north');
  const serve = ({ network, clock, random }: DurableEnvironment): Promise<unknown> =>
    network.listenHttp({ host: server.host, port: 80 }, LISTEN_OPTIONS, async () => {
      await clock.sleep(random.nextFloat() * 20);
      return { status: 200, body: random.nextIdentifier(4) };
    });
  await serve(server.environment);
  for (const name of ['one', 'two']) {
    const { network, clock } = simulation.createMachine(name, 'south').environment;
    const client = network.httpClient({ host: server.host, port: 80 }, CLIENT_OPTIONS);
    void (async () => {
      for (;;) {
        await client
          .request({ method: 'GET', path: '/', headers: {} })
          .catch(() => clock.sleep(10));
      }
    })();
  }
  simulation.at(500, () => {
    const id = simulation.cut({ from: { machine: 'one' } });
    simulation.at(900, () => simulation.heal(id));
  });
  simulation.at(1_200, () => server.crash());
  simulation.at(1_300, () => void serve(server.restart({ keepDisk: true })));
  await simulation.runFor(2_000);
  return `${simulation.eventDigest} ${simulation.executedEvents}`;
}

describe('Simulation', () => {
  it('repeats a seed exactly and differs between seeds', async () => {
    const first = await runBusySimulation(7);
    expect(await runBusySimulation(7)).toBe(first);
    expect(await runBusySimulation(8)).not.toBe(first);
  });

  it('runs events in order of time, then of insertion, and drains promise jobs between them', async () => {
    const simulation = new Simulation(1);
    const { clock } = simulation.createMachine('a', 'north').environment;
    const seen: string[] = [];
    const chain = async (name: string): Promise<void> => {
      for (let step = 0; step < 20; step += 1) await Promise.resolve();
      seen.push(name);
    };
    clock.setTimer(5, () => void chain('late'));
    clock.setTimer(2, () => void chain('first of two'));
    clock.setTimer(2, () => seen.push('second of two'));
    clock.setTimer(1, () => seen.push('cancelled')).cancel();
    await simulation.runFor(10);
    expect(seen).toEqual(['first of two', 'second of two', 'late']);
    expect(simulation.now).toBe(10);
  });

  it('reports a promise that does not settle in time', async () => {
    const simulation = new Simulation(1);
    const { clock } = simulation.createMachine('a', 'north').environment;
    await expect(simulation.settle(clock.sleep(20), 10)).rejects.toThrow(SimulationTimeoutError);
  });

  it('passes on what an event throws', async () => {
    const simulation = new Simulation(1);
    const { clock } = simulation.createMachine('a', 'north').environment;
    clock.setTimer(1, () => {
      throw new Error('thrown in a timer');
    });
    await expect(simulation.runFor(2)).rejects.toThrow('thrown in a timer');
  });

  it('lets nothing of a crashed process run, and starts the next one fresh', async () => {
    const simulation = new Simulation(1);
    const machine = simulation.createMachine('a', 'north');
    const old = machine.environment;
    const seen: string[] = [];
    void old.clock.sleep(5).then(() => seen.push('old sleep'));
    void old.disk.list('.').then(() => seen.push('old disk'));
    machine.crash();
    const { clock } = machine.restart({ keepDisk: true });
    void clock.sleep(5).then(() => seen.push('new sleep'));
    void old.clock.sleep(5).then(() => seen.push('old sleep after the crash'));
    await simulation.runFor(10);
    expect(seen).toEqual(['new sleep']);
  });

  it('defers a frozen process, and keeps the order of its timers', async () => {
    const simulation = new Simulation(1);
    const machine = simulation.createMachine('a', 'north');
    const { clock } = machine.environment;
    const start = clock.now();
    const seen: string[] = [];
    for (const delay of [10, 20]) {
      clock.setTimer(delay, () => seen.push(`${delay} at ${Math.round(clock.now() - start)}`));
    }
    machine.freeze(100);
    await simulation.runFor(200);
    expect(seen).toEqual(['10 at 100', '20 at 100']);
  });

  it('skews the time of day only, and lets a clock drift', async () => {
    const simulation = new Simulation(1);
    const machine = simulation.createMachine('a', 'north');
    const before = machine.environment.clock.wallTime();
    machine.skew(60_000);
    expect(machine.environment.clock.wallTime()).toBe(before + 60_000);
    machine.drift(2);
    const { clock } = machine.restart({ keepDisk: true });
    const start = clock.now();
    await simulation.settle(clock.sleep(100));
    expect(clock.now() - start).toBeCloseTo(100);
    expect(simulation.now).toBe(50);
  });
});
