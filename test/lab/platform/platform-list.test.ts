import { expect, it } from 'vitest';
import { NodeNetwork } from '../../../src/node/node-network.js';
import { PureRandomSource } from '../../../src/node/pure-random-source.js';
import { PlatformList } from '../../../lab/platform/platform-list.js';
import { ManualClock } from '../../support/manual-clock.js';

it('tells every change only after its lag, over HTTP', async () => {
  const clock = new ManualClock();
  const environment = { clock, network: new NodeNetwork(), random: new PureRandomSource(1) };
  const address = { host: '127.0.0.1', port: 0 };
  const list = await PlatformList.start(environment, { address, lag: 2_000 });
  const client = environment.network.httpClient(list.address, {
    connections: 1,
    maximumResponseBytes: 65_536,
    connectTimeout: 1_000,
    keepAliveTimeout: 1_000,
  });
  const read = async (): Promise<unknown> => {
    const response = await client.request({ method: 'GET', path: '/machines', headers: {} });
    return JSON.parse(Buffer.from(response.body).toString());
  };
  const live = { replicaId: 'kifu-audit-0-a', incarnation: 1, state: 'live' } as const;
  list.set(live);
  clock.advance(2_000);
  const body = JSON.stringify({ ...live, state: 'draining' });
  const put = await client.request({ method: 'PUT', path: '/machines', headers: {}, body });
  expect(put.status).toBe(204);
  clock.advance(1_999);
  expect(await read()).toEqual([live]);
  clock.advance(1);
  expect(await read()).toEqual([{ ...live, state: 'draining' }]);
  const bad = await client.request({ method: 'PUT', path: '/machines', headers: {}, body: '{}' });
  expect(bad.status).toBe(400);
  client.destroy();
  await list.stop();
});
