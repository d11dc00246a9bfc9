import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { gatewayConfigurationSchema } from '../../src/configuration/gateway-configuration.js';
import { GatewayDaemon } from '../../src/gateway/gateway-daemon.js';
import type { Logger } from '../../src/observability/logger.js';
import { AutomaticGroup, CLUSTER, MESSAGE_PORT } from '../control/automatic-group.js';

const TAKEN_PORT = 8000;
const LISTEN_OPTIONS = {
  maximumBodyBytes: 1_000,
  maximumHeaderBytes: 1_000,
  requestTimeout: 1_000,
  maximumConnections: 10,
};

it('a gateway that cannot listen releases all its resources, so that its process can exit', async () => {
  const group = await AutomaticGroup.start(3, 5);
  const { simulation } = group;
  const machine = simulation.createMachine('gateway-1', 'nayoro');
  const { network } = machine.environment;
  const address = { host: machine.host, port: TAKEN_PORT };
  const handler = () => Promise.resolve({ status: 200, body: '' });
  await simulation.settle(network.listenHttp(address, LISTEN_OPTIONS, handler));
  const configuration = gatewayConfigurationSchema.parse({
    name: 'gateway-1',
    region: 'dohoku',
    zone: 'nayoro',
    cluster: CLUSTER,
    listen: {
      http: `${machine.host}:${TAKEN_PORT}`,
      health: `${machine.host}:8001`,
      messages: `${machine.host}:8002`,
    },
    controllers: group.machines.map(({ host }) => `${host}:${MESSAGE_PORT}`),
  });
  const messages: string[] = [];
  const note = (message: string): void => void messages.push(message);
  const logger: Logger = { info: note, warn: note, error: note, child: () => logger };
  const telemetry = { logger, registry: new Registry() };

  const started = GatewayDaemon.start(machine.environment, configuration, telemetry);
  await expect(simulation.settle(started)).rejects.toThrow('address already in use');
  await simulation.runFor(5_000);
  expect(messages.filter((message) => message === 'controller regained')).toHaveLength(0);
  const messageAddress = { host: machine.host, port: 8002 };
  const freed = network.listenMessages(messageAddress, () => Promise.resolve());
  await expect(simulation.settle(freed)).resolves.toBeDefined();
});
