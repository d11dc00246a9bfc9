/** A daemon that starts while its predecessor on the same addresses still runs. */
import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { gatewayConfigurationSchema } from '../../src/configuration/gateway-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { GatewayDaemon } from '../../src/gateway/gateway-daemon.js';
import { SILENT_LOGGER, type Logger } from '../../src/observability/logger.js';
import type { Telemetry } from '../../src/observability/telemetry.js';
import type { DurableEnvironment } from '../../src/seams/environment.js';
import { waitForAddresses } from '../../src/startup/waiting-network.js';
import { AutomaticGroup, CLUSTER, MESSAGE_PORT, SETTLE_MS } from '../control/automatic-group.js';

const WHILE_WAITING_MS = 20_000;

/** Keeps the messages of all lines. */
function recordingTelemetry(): Telemetry & { readonly messages: readonly string[] } {
  const messages: string[] = [];
  const note = (message: string): void => void messages.push(message);
  const logger: Logger = { info: note, warn: note, error: note, child: () => logger };
  return { logger, registry: new Registry(), messages };
}

/** The environment with a disk that counts the calls. */
function countDiskCalls(environment: DurableEnvironment): {
  readonly environment: DurableEnvironment;
  readonly calls: () => number;
} {
  let calls = 0;
  const disk = new Proxy(environment.disk, {
    get(target, name): unknown {
      const member: unknown = Reflect.get(target, name);
      if (typeof member !== 'function') return member;
      calls += 1;
      return member.bind(target) as unknown;
    },
  });
  return { environment: { ...environment, disk }, calls: () => calls };
}

function gatewayConfiguration(group: AutomaticGroup, { host }: SimulatedMachine) {
  return gatewayConfigurationSchema.parse({
    name: 'gateway-1',
    region: 'dohoku',
    zone: 'nayoro',
    cluster: CLUSTER,
    listen: { http: `${host}:8000`, health: `${host}:8001`, messages: `${host}:8002` },
    controllers: group.machines.map((machine) => `${machine.host}:${MESSAGE_PORT}`),
  });
}

describe('a gateway that starts while its predecessor drains', () => {
  it('waits for all addresses, unknown to the controllers, and then serves', async () => {
    const group = await AutomaticGroup.start(3, 5);
    const { simulation } = group;
    const machine = simulation.createMachine('gateway-1', 'nayoro');
    const { environment } = machine;
    const configuration = gatewayConfiguration(group, machine);
    const first = recordingTelemetry();
    const predecessor = await simulation.settle(
      GatewayDaemon.start(environment, configuration, first),
    );
    await simulation.runFor(SETTLE_MS);
    const second = recordingTelemetry();
    const { signal: stopped } = new AbortController();
    const waiting = waitForAddresses(environment, { logger: second.logger, stopped });
    const starting = GatewayDaemon.start(waiting, configuration, second);
    await simulation.runFor(WHILE_WAITING_MS);
    expect(second.messages).toEqual(['address not available yet']);
    expect(predecessor.followedControllers).toBe(2);

    await simulation.settle(predecessor.stop());
    const successor = await simulation.settle(starting);
    await simulation.runFor(SETTLE_MS);
    expect(second.messages).toContain('gateway listening');
    expect(successor.followedControllers).toBe(2);
  });

  it('ends its wait, with no address left open, when it is told to stop', async () => {
    const group = await AutomaticGroup.start(3, 6);
    const { simulation } = group;
    const machine = simulation.createMachine('gateway-1', 'nayoro');
    const { environment, host } = machine;
    const configuration = gatewayConfiguration(group, machine);
    // Only the last address is taken.
    const handler = () => Promise.resolve({ status: 200, body: '' });
    const { limits } = configuration;
    const taken = environment.network.listenHttp({ host, port: 8000 }, limits, handler);
    await simulation.settle(taken);
    const stop = new AbortController();
    const telemetry = recordingTelemetry();
    const { logger } = telemetry;
    const waiting = waitForAddresses(environment, { logger, stopped: stop.signal });
    const starting = GatewayDaemon.start(waiting, configuration, telemetry);
    await simulation.runFor(WHILE_WAITING_MS);
    stop.abort(new Error('stopped by SIGTERM'));
    await expect(simulation.settle(starting)).rejects.toThrow('stopped by SIGTERM');
    const freed = environment.network.listenMessages({ host, port: 8002 }, () => Promise.resolve());
    await expect(simulation.settle(freed)).resolves.toBeDefined();
  });
});

describe('a controller that starts while its predecessor still runs', () => {
  // Two processes that write to one data folder falsify its log.
  it("leaves the predecessor's data folder alone until that has stopped", async () => {
    const group = await AutomaticGroup.start(3, 7);
    const { simulation } = group;
    const machine = group.machineAt(1);
    const { host, zone } = machine;
    const configuration = controllerConfigurationSchema.parse({
      memberId: 'unused',
      region: 'dohoku',
      zone,
      cluster: CLUSTER,
      dataFolder: 'unused',
      listen: {
        http: `${host}:7400`,
        messages: `${host}:${MESSAGE_PORT}`,
        registration: `${host}:7600`,
      },
      zones: {},
      initialMembers: [{ memberId: 'unused', address: '10.0.0.1:1', zone }],
      automaticMembership: {
        seeds: group.machines.map((seed) => `${seed.host}:${MESSAGE_PORT}`),
        firstStart: false,
      },
    });
    const { environment, calls } = countDiskCalls(machine.environment);
    const { signal: stopped } = new AbortController();
    const waiting = waitForAddresses(environment, { logger: SILENT_LOGGER, stopped });
    const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
    const starting = ControllerDaemon.start(waiting, configuration, telemetry);
    await simulation.runFor(WHILE_WAITING_MS);
    expect(calls()).toBe(0);

    const predecessor = group.daemons.get(machine) ?? expect.fail('no predecessor');
    await simulation.settle(predecessor.stop());
    const successor = await simulation.settle(starting);
    expect(calls()).toBeGreaterThan(0);
    await simulation.settle(successor.stop());
  });
});
