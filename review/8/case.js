/**
 * An operator's order to end an evacuation waits at a controller that stands still. It is given again
 * to another controller, and the zone is evacuated anew; then the first controller wakes up.
 */
import { URL, fileURLToPath } from 'node:url';
import { Deployment, PORTS, ip, sleep } from '../lib-2/deployment.js';
import { HAS_TROUBLE, runCase } from '../lib-2/record.js';
import { Replica, call, newId, now, putConfig, untilReady } from '../lib-2/stand-ins.js';

/** From our pages, kifu-search-now-grown. */
const BOUNDS = { ContactMs: 5000, AckTimeoutMs: 6000, MaxSkewMs: 15000, EvacuateMs: 5000 };
const FREEZE_MS = 4_000;
const ZONE = 'zone-a';
const REQUESTS_PER_S = 20;

const deployment = new Deployment({ controllers: 3, gateways: 2, bounds: BOUNDS });
const replicas = [];
const [first, second, frozen] = deployment.controllers;

function config() {
  const route = { name: 'desk', host: 'a.example', pathPrefix: '/desk/', execution: 'repeatable' };
  const times = { timeoutMs: 4000, targetLatencyMs: 400, priority: 1 };
  return {
    version: 1,
    routes: [{ ...route, ...times, service: 'desk', maximumAttempts: 2 }],
    services: [{ name: 'desk', healthPath: '/health', maximumConnections: 110 }],
  };
}

async function startReplicas() {
  const controllers = deployment.controlAddresses();
  for (const [index, zone] of ['zone-a', 'zone-a', 'zone-b', 'zone-b'].entries()) {
    const place = { host: ip(2), port: 9000 + index, zone };
    const replica = new Replica({ service: 'desk', ...place, controllers, slots: 8 });
    await replica.start();
    replicas.push(replica);
  }
}

/** Gives an order to one controller after the other: on to the next after a failure or a second without an answer. */
async function order(record, method, machines) {
  for (let turn = 0; ; turn += 1) {
    const { ip: host, name } = machines[turn % machines.length];
    const path = `/v1/evacuations/${ZONE}`;
    record.note(`operator: ${method} ${path} to ${name}`);
    const answer = await call({ host, port: PORTS.control, method, path, timeoutMs: 1_000 });
    record.note(`operator: ${method} answered by ${name} with ${answer.status || answer.error}`);
    if (answer.status >= 200 && answer.status < 300) return answer.endedAt;
    if (turn > 20) throw new Error(`${method} is not acknowledged`);
    await sleep(50);
  }
}

async function play(record) {
  deployment.startAll();
  await startReplicas();
  const answer = await putConfig(deployment.controlAddresses(), config(), 20_000);
  if (answer?.status !== 200) throw new Error('the configuration was not taken');
  if (!(await untilReady(deployment.gateways))) throw new Error('the gateways are not ready');
  await sleep(3_000);

  const sent = new Map();
  let isOver = false;
  const traffic = (async () => {
    for (let count = 0; !isOver; count += 1) {
      const gateway = deployment.gateways[count % deployment.gateways.length];
      const id = newId();
      sent.set(id, now());
      record.note(`client: ${id} to ${gateway.name}`);
      const headers = { host: 'a.example', 'x-request-id': id, 'x-deadline-ms': '3000' };
      const request = { host: gateway.ip, port: PORTS.front, path: `/desk/${id}`, headers };
      void call({ ...request, timeoutMs: 3_500 }).then(({ status, error }) =>
        record.note(`client: ${id} answered with ${status || error}`),
      );
      await sleep(1_000 / REQUESTS_PER_S);
    }
  })();

  await order(record, 'PUT', [first, second]);
  record.say(`${ZONE} is evacuated`);
  await sleep(3_000);

  if (HAS_TROUBLE) {
    frozen.signal('SIGSTOP');
    record.say(`${frozen.name} stands still`);
  }
  const stoppedAt = now();
  await sleep(200);
  await order(record, 'DELETE', [frozen, first, second]);
  record.say(`the evacuation of ${ZONE} is taken back`);
  await sleep(500);
  const evacuatedAt = await order(record, 'PUT', [first, second]);
  record.say(`${ZONE} is evacuated again`);
  await sleep(Math.max(0, stoppedAt + FREEZE_MS - now()));
  frozen.signal('SIGCONT');
  record.say(`${frozen.name} goes on`);

  // The core was not stable meanwhile, which stretches the bound by MaxSkewMs at most.
  const dueAt = evacuatedAt + BOUNDS.EvacuateMs + BOUNDS.MaxSkewMs;
  await sleep(dueAt + 4_000 - now());
  isOver = true;
  await traffic;
  await sleep(1_000);

  for (const { zone, arrivals } of replicas) {
    for (const { at, id, replica, ran } of arrivals)
      record.note(`replica ${replica} in ${zone}: ${id} ${ran ? 'run' : 'arrived'}`, at);
  }
  const late = replicas
    .filter(({ zone }) => zone === ZONE)
    .flatMap(({ arrivals }) => arrivals)
    .filter(({ id, at, ran }) => ran && at > dueAt && sent.get(id) > dueAt);
  const after = [...sent.values()].filter((at) => at > dueAt).length;
  record.say(
    `of ${after} requests sent more than ${BOUNDS.EvacuateMs} + ${BOUNDS.MaxSkewMs} ms after the last ` +
      `evacuation was acknowledged, ${late.length} ran in ${ZONE}`,
  );
  return late.length > 0;
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), play, async () => {
  for (const replica of replicas) replica.stop();
  await deployment.close();
});
