// Guards against a planned stop that cuts off requests which came late in the grace period, and against
// a second signal that ends it.
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, it } from 'vitest';
import type { DeployedDaemon } from '../../../lab/deployed/deployed-fleet.js';
import {
  DeployedSite,
  PATHS,
  SINGLE_SERVICE,
  ask,
  until,
  type Answer,
} from './deployed-support.js';

const WORK_MS = 3_000;
const DEADLINE_MS = 8_000;
const PAUSE_MS = 400;
/** A request that a replica runs when the signal comes. */
const IN_FLIGHT = 'in-flight';
const KEPT_CONNECTIONS = 25;
const HTTP_OK = 200;
/** With these a gateway says that the request was not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** One request that may run once, and what was heard of it. */
interface Payment {
  readonly requestId: string;
  readonly afterMs: number;
  readonly answer: Answer | undefined;
}

let site: DeployedSite;
const agents: Agent[] = [];

afterEach(async () => {
  for (const agent of agents.splice(0)) agent.destroy();
  await site.close();
});

function keptConnection(): Agent {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  agents.push(agent);
  return agent;
}

/** How often a replica ran the request. */
function runsOf(requestId: string): number {
  const runs = site.replicas.all.flatMap(({ replica }) => replica.runs);
  return runs.filter((run) => run.requestId === requestId).length;
}

function violationsOf({ requestId, afterMs, answer }: Payment): string[] {
  const runs = runsOf(requestId);
  const what = `${requestId}, ${afterMs} ms after the first, ran ${runs} times and got ${answer?.status ?? 'no answer'}`;
  if (runs > 1) return [what];
  if (runs === 1 && answer?.status !== HTTP_OK) return [what];
  const isRejected = answer === undefined || NOT_RUN_STATUSES.includes(answer.status);
  return runs === 0 && !isRejected ? [what] : [];
}

/** Sends requests of 3 s on kept and on new connections until the gateway's process is gone. */
async function payUntilGone(gateway: DeployedDaemon, tell: () => void): Promise<Payment[]> {
  const { address, process } = gateway;
  const kept = Array.from({ length: KEPT_CONNECTIONS }, keptConnection);
  await Promise.all(
    kept.map((agent, index) =>
      ask(address, {
        path: PATHS.repeatable,
        requestId: `open-${index}`,
        deadlineMs: DEADLINE_MS,
        agent,
      }),
    ),
  );
  for (const { replica } of site.replicas.all) {
    if (replica.options.service === SINGLE_SERVICE) replica.workMs = WORK_MS;
  }
  const begin = performance.now();
  const payments: Promise<Payment>[] = [];
  const pay = async (requestId: string, agent?: Agent): Promise<Payment> => {
    const afterMs = Math.round(performance.now() - begin);
    const path = PATHS.atMostOnce;
    const kept = agent === undefined ? {} : { agent };
    const answer = await ask(address, { path, requestId, deadlineMs: DEADLINE_MS, ...kept });
    return { requestId, afterMs, answer };
  };
  payments.push(pay(IN_FLIGHT));
  await until(() => runsOf(IN_FLIGHT) === 1);
  tell();
  for (let count = 0; process.isRunning; count += 1) {
    payments.push(pay(`new-${count}`));
    const agent = kept[count];
    if (agent !== undefined) payments.push(pay(`kept-${count}`, agent));
    await Promise.race([sleep(PAUSE_MS), process.ended]);
  }
  return Promise.all(payments);
}

function gatewayOf({ fleet }: DeployedSite): DeployedDaemon {
  const [gateway] = fleet.gateways;
  if (gateway === undefined) throw new Error('expected a gateway');
  return gateway;
}

it('a planned stop cuts off no request that it passed on', async () => {
  site = await DeployedSite.create();
  await site.serve();
  const gateway = gatewayOf(site);
  const payments = await payUntilGone(gateway, () => gateway.process.tellToStop());
  expect(payments.flatMap(violationsOf)).toEqual([]);
  expect(payments[0]).toMatchObject({ requestId: IN_FLIGHT, answer: { status: HTTP_OK } });
  expect((await gateway.process.ended).exitCode).toBe(0);
});

it('a second signal does not cut a planned stop short', async () => {
  site = await DeployedSite.create();
  await site.serve();
  const gateway = gatewayOf(site);
  const payments = await payUntilGone(gateway, () => {
    gateway.process.tellToStop();
    setTimeout(() => gateway.process.tellToStop(), WORK_MS / 2);
  });
  expect(payments.flatMap(violationsOf)).toEqual([]);
  expect((await gateway.process.ended).exitCode).toBe(0);
});
