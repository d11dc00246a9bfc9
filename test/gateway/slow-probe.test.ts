/** Tests a planned stop, on real sockets, while a probe is sent slowly. */
import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { gatewayConfigurationSchema } from '../../src/configuration/gateway-configuration.js';
import { GatewayDaemon } from '../../src/gateway/gateway-daemon.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import type { Address } from '../../src/seams/address.js';
import type { Network } from '../../src/seams/network.js';
import { CLUSTER } from '../control/automatic-group.js';
import { RawCaller } from '../node/support/raw-caller.js';

// Guards against a process that is killed at the end of its grace period before it has closed the rest.
it('a stop does not wait for a probe that is never sent in full', async () => {
  const environment = createNodeEnvironment();
  const addresses: Address[] = [];
  const network = Object.create(environment.network) as Network;
  network.listenHttp = async (...given) => {
    const listener = await environment.network.listenHttp(...given);
    addresses.push(listener.address);
    return listener;
  };
  const configuration = gatewayConfigurationSchema.parse({
    name: 'gateway-1',
    region: 'dohoku',
    zone: 'nayoro',
    cluster: CLUSTER,
    listen: { http: '127.0.0.1:0', health: '127.0.0.1:0' },
    controllers: ['127.0.0.1:1'],
    stopGraceMs: 1_000,
  });
  const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
  const gateway = await GatewayDaemon.start({ ...environment, network }, configuration, telemetry);
  const health = addresses[1];
  if (health === undefined) throw new Error('expected the health listener to be the second');
  const probe = await RawCaller.open(health);
  probe.send('GET /readyz HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\nhalf');
  await gateway.stop();
  expect(await Promise.race([probe.next(), Promise.resolve('still open')])).toBe('still open');
  probe.close();
});
