import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Registry } from 'prom-client';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  controllerConfigurationSchema,
  type ControllerConfiguration,
} from '../../src/configuration/controller-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { observe } from '../../src/control-stream/observe.js';
import { createDurableNodeEnvironment } from '../../src/node/node-environment.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { formatAddress } from '../../src/seams/address.js';
import type { ConfigurationSource } from '../../src/settings/configuration-source.js';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';
import { RawCaller } from '../node/support/raw-caller.js';

const TOKEN = createTokenText('bootstrap');
const CLUSTER = { id: 'dohoku', key: 'a-long-random-secret' };

let folder: string;
let running: { stop(): Promise<void> }[];

function configurationAt(messages: string): ControllerConfiguration {
  return controllerConfigurationSchema.parse({
    memberId: 'controller-1',
    region: 'dohoku',
    zone: 'nayoro',
    cluster: CLUSTER,
    dataFolder: folder,
    listen: { http: '127.0.0.1:0', messages },
    initialMembers: [{ memberId: 'controller-1', address: messages, zone: 'nayoro' }],
    administration: { bootstrapTokenHash: hashToken(TOKEN) },
  });
}

async function startController(messages = '127.0.0.1:0'): Promise<ControllerDaemon> {
  const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
  const environment = createDurableNodeEnvironment(folder);
  const daemon = await ControllerDaemon.start(environment, configurationAt(messages), telemetry);
  running.push(daemon);
  return daemon;
}

function startClient({ messageAddress: address }: ControllerDaemon): ControlStreamClient {
  const client = ControlStreamClient.start(
    createDurableNodeEnvironment(folder),
    {
      name: 'router-1',
      zone: 'nayoro',
      cluster: CLUSTER,
      controllers: [{ memberId: 'controller-1', address, zone: 'nayoro' }],
    },
    { logger: SILENT_LOGGER, registry: new Registry() },
  );
  running.push({ stop: () => client.close() });
  return client;
}

function request(daemon: ControllerDaemon, path: string, body?: object): Promise<Response> {
  return fetch(`http://${formatAddress(daemon.httpAddress)}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
}

/** Sets one key as an operator does, which creates revision `revision`. */
async function acceptRevision(daemon: ControllerDaemon, revision: number): Promise<void> {
  const response = await request(daemon, '/v1/changes', {
    changeId: `change-${revision}`,
    baseRevision: revision - 1,
    author: 'operator',
    reason: 'test',
    operations: [{ type: 'set', scope: 'defaults', key: 'queueLimit', value: revision }],
  });
  expect(response.status, await response.clone().text()).toBe(200);
}

/** Resolves once `revision` is in force at the daemon of `source`. */
function waitUntilInForce(source: ConfigurationSource, revision: number): Promise<void> {
  return new Promise((resolve) => {
    const check = (): void => {
      if (source.current()?.revision !== revision) return;
      subscription.dispose();
      resolve();
    };
    const subscription = observe(source.revisions, check);
    check();
  });
}

/**
 * Resolves once the controller's metrics contain `line`. Polls, because on a busy machine the
 * stream may break and reconnect at any time.
 */
async function waitForMetricLine(daemon: ControllerDaemon, line: string): Promise<void> {
  let text: string;
  do text = await (await request(daemon, '/metrics')).text();
  while (!text.split('\n').includes(line));
}

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'driftway-controller-'));
  running = [];
});

afterEach(async () => {
  for (const daemon of running.reverse()) await daemon.stop();
  await rm(folder, { recursive: true });
});

describe('ControllerDaemon', () => {
  it('puts an accepted change in force at a daemon, is ready and counts the daemon as a subscriber', async () => {
    const controller = await startController();
    const client = startClient(controller);
    await waitUntilInForce(client, 0);
    await acceptRevision(controller, 1);
    await waitUntilInForce(client, 1);
    expect(client.freshness().committedRevision).toBe(1);
    expect((await request(controller, '/readyz')).status).toBe(200);
    await waitForMetricLine(controller, 'driftway_control_stream_subscribers 1');
  });

  // Guards against a process that is killed before it has handed its leadership over.
  it('does not wait in a planned stop for a request that is never sent in full', async () => {
    const controller = await startController();
    const caller = await RawCaller.open(controller.httpAddress);
    caller.send('POST /v1/changes HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\nhalf');
    await (await request(controller, '/livez')).text();
    await controller.stop();
    expect(await Promise.race([caller.next(), Promise.resolve('still open')])).toBe('still open');
    caller.close();
  });

  it('restarts with the last accepted revision, and daemons reconnect to it', async () => {
    const first = await startController();
    const client = startClient(first);
    for (let revision = 1; revision <= 300; revision += 1) await acceptRevision(first, revision);
    await waitUntilInForce(client, 300);
    const address = formatAddress(first.messageAddress);
    await first.stop();
    const second = await startController(address);
    await acceptRevision(second, 301);
    await waitUntilInForce(client, 301);
    const response = await request(second, '/v1/changes/change-300');
    expect(await response.json()).toMatchObject({ revision: 300 });
  });
});
