import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import type { Logger } from '../../src/observability/logger.js';
import { CLUSTER, setMembers, TestController } from './controller-fixture.js';

const SEED = 4;

function recordingLogger(lines: object[]): Logger {
  const write = (message: string, fields: object = {}): void =>
    void lines.push({ message, fields });
  const logger = { info: write, warn: write, error: write, child: (): Logger => logger };
  return logger;
}

it('a daemon logs once why it cannot follow a controller, and logs when it leaves one', async () => {
  const simulation = new Simulation(SEED);
  const host = simulation.createMachine('controller-1', 'nayoro');
  const controller = await simulation.settle(TestController.start(host));
  setMembers([controller]);
  const startWith = (name: string, key: string): object[] => {
    const lines: object[] = [];
    ControlStreamClient.start(
      simulation.createMachine(name, 'nayoro').environment,
      { name, zone: 'nayoro', cluster: { ...CLUSTER, key }, controllers: [controller.endpoint] },
      { logger: recordingLogger(lines), registry: new Registry() },
    );
    return lines;
  };
  const rejected = startWith('router-1', 'another-long-secret');
  const follower = startWith('router-2', CLUSTER.key);
  await simulation.runFor(60_000);
  expect(rejected).toHaveLength(1);
  expect(JSON.stringify(rejected)).toMatch(/cannot follow controller.*handshake_failed.*wrong_key/);
  expect(follower).toEqual([]);
  host.crash();
  await simulation.runFor(60_000);
  expect(JSON.stringify(follower)).toMatch(/left controller.*cannot follow.*connect_failed/);
  expect(follower).toHaveLength(2);
});
