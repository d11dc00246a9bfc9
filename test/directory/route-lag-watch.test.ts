import { expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import type { GatewayRoutes } from '../../src/directory/gateway-routes.js';
import { RouteLagWatch } from '../../src/directory/route-lag-watch.js';
import type { LogFields, Logger } from '../../src/observability/logger.js';

it('logs late gateways with the responsible controllers at a limited rate, and logs once when all have caught up', async () => {
  const simulation = new Simulation(7);
  const { clock } = simulation.createMachine('controller', 'a').environment;
  const lines: { message: string; fields: LogFields }[] = [];
  const write = (message: string, fields: LogFields = {}): void => {
    lines.push({ message, fields });
  };
  const logger: Logger = { info: write, warn: write, error: write, child: () => logger };
  let lackingMs: number | undefined = 100;
  const gateways = (): GatewayRoutes[] => [
    { gateway: 'gateway-1', zone: 'b', version: 3, lackingMs, owedBy: ['controller-b'] },
  ];
  const watch = new RouteLagWatch({ clock, logger, gateways, version: () => 9 });
  watch.check();
  expect(lines).toEqual([]);
  lackingMs = 2_500;
  for (let checks = 0; checks < 10; checks += 1) {
    watch.check();
    await simulation.runFor(250);
  }
  const longest = [{ gateway: 'gateway-1', inForce: 3, lackingMs: 2_500, owedBy: 'controller-b' }];
  const late = { version: 9, gateways: 1, longest };
  expect(lines).toEqual([{ message: 'gateways lack the route document', fields: late }]);
  lackingMs = undefined;
  watch.check();
  watch.check();
  expect(lines.slice(1)).toEqual([
    { message: 'gateways have the route document', fields: { version: 9 } },
  ]);
});
