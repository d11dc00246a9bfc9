/**
 * One machine of a core of three loses its disk twice, the second time soon after it came back. No other machine is
 * touched. Then the operator reads back what was acknowledged before.
 */
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { URL, fileURLToPath } from 'node:url';
import { Deployment, PORTS, ip, sleep } from '../lib-2/deployment.js';
import { HAS_TROUBLE, runCase } from '../lib-2/record.js';
import { Replica, call, now, putConfig, untilReady } from '../lib-2/stand-ins.js';

const CATCH_UP_MS = 4_000;
const CONTACT_MS = 4_000;
const ACK_TIMEOUT_MS = 5_000;
const LOSSES = 2;
/** From its first answer to the next loss. */
const UP_MS = 150;
const START_TIMEOUT_MS = 5_000;
/** "It is started again after a short delay". */
const DOWN_MS = 100;
const CALM_MS = 15_000;

const deployment = new Deployment({ controllers: 3, gateways: 1 });
const controllers = deployment.controlAddresses();
const machine = deployment.controllers[2];
const replica = new Replica({
  service: 'desk',
  host: ip(2),
  port: 9000,
  zone: 'zone-a',
  controllers,
});

function config(version) {
  const route = { name: 'desk', host: 'a.example', pathPrefix: '/desk/', execution: 'repeatable' };
  const times = { timeoutMs: 4000, targetLatencyMs: 400, priority: 1 };
  return {
    version,
    routes: [{ ...route, ...times, service: 'desk', maximumAttempts: 2 }],
    services: [{ name: 'desk', healthPath: '/health', maximumConnections: 110 }],
  };
}

async function setConfig(record, version, forMs) {
  const answer = await putConfig(controllers, config(version), forMs);
  record.say(
    answer?.status === 200
      ? `version ${version} is acknowledged`
      : `version ${version} is not acknowledged within ${forMs} ms`,
  );
  return answer?.status === 200;
}

async function loseDisk(record) {
  machine.signal('SIGKILL');
  await machine.ended();
  rmSync(join(deployment.folder, `data-${machine.name}`), { recursive: true, force: true });
  await sleep(DOWN_MS);
  machine.start();
  record.say(`${machine.name} has lost its disk and starts again`);
}

/** Waits until the machine is back in the core, as far as a caller can see: it tells the configuration. */
async function untilBack() {
  const until = now() + START_TIMEOUT_MS;
  while (now() < until) {
    const request = { host: machine.ip, port: PORTS.control, path: '/v1/routes', timeoutMs: 1_000 };
    if ((await call(request)).status === 200) return;
    await sleep(20);
  }
}

/** Asks all controllers in turn; resolves with the version that one of them tells, if any does. */
async function readBack(record, forMs) {
  const until = now() + forMs;
  let newest;
  for (let turn = 0; now() < until; turn += 1) {
    const { host, port } = controllers[turn % controllers.length];
    const answer = await call({ host, port, path: '/v1/routes', timeoutMs: 1_000 });
    const version = answer.status === 200 ? JSON.parse(answer.body).version : undefined;
    record.note(`operator: GET from ${host}: ${version ?? (answer.status || answer.error)}`);
    if (version !== undefined) newest = Math.max(newest ?? 0, version);
    await sleep(100);
  }
  return newest;
}

async function play(record) {
  deployment.startAll();
  await replica.start();
  if (!(await setConfig(record, 1, 20_000))) throw new Error('the configuration was not taken');
  if (!(await untilReady(deployment.gateways))) throw new Error('the gateway is not ready');
  await sleep(CATCH_UP_MS);
  if (!(await setConfig(record, 7, ACK_TIMEOUT_MS))) throw new Error('version 7 was not taken');

  for (let loss = 0; HAS_TROUBLE && loss < LOSSES; loss += 1) {
    await loseDisk(record);
    await untilBack();
    record.note(`${machine.name} is back`);
    await sleep(UP_MS);
  }
  await sleep(CATCH_UP_MS + CALM_MS);
  record.say(`all machines have run for ${(CATCH_UP_MS + CALM_MS) / 1_000} s without a disruption`);

  const version = await readBack(record, 3 * CONTACT_MS);
  record.say(`read back for ${(3 * CONTACT_MS) / 1_000} s: ${version ?? 'nothing'}`);
  await setConfig(record, 9, 2 * ACK_TIMEOUT_MS);
  const isRunning = deployment.controllers.every((each) => each.isRunning);
  if (!isRunning) record.say('a controller has ended');
  return version !== 7;
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), play, async () => {
  replica.stop();
  await deployment.close();
});
