import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour, type ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { connectTimeout, sendTimeout } from '../../src/gateway/connect-timeouts.js';
import type { GatewayMechanisms } from '../../src/configuration/gateway-mechanisms.js';
import { GatewayHarness } from './gateway-harness.js';

const TARGET_MS = 1_000;
const ROUTE = {
  pathPrefix: '/ledger/',
  service: 'ledger',
  targetLatencyMs: TARGET_MS,
  timeoutMs: 8_000,
};
const DEADLINE_MS = 8_000;
/** So long that the other replica is always taken for the better one. */
const SLOW_MS = 400;
/** Connections that rest are closed within it. Milliseconds. */
const CONNECTIONS_CLOSED_MS = 9_000;

async function start(
  count: number,
  mechanisms: Partial<GatewayMechanisms> = {},
  seed = 7,
): Promise<[GatewayHarness, ExchangeReplica[]]> {
  const harness = await GatewayHarness.start(seed, {
    mechanisms: { hedging: false, warmConnections: false, ...mechanisms },
  });
  const replicas: ExchangeReplica[] = [];
  for (let index = 0; index < count; index += 1) replicas.push(await harness.addReplica('ledger'));
  await harness.putRoutes([ROUTE]);
  return [harness, replicas];
}

/** Opening packets from the gateway to the replica are dropped from now on. */
function dropSynPackets(harness: GatewayHarness, replica: ExchangeReplica): () => void {
  const rule = harness.simulation.cut({
    from: { machine: harness.machine.name },
    to: { machine: harness.machineOf(replica).name },
  });
  return () => harness.simulation.heal(rule);
}

/** Times of eight requests, of which some meet the replica that drops opening packets. Milliseconds. */
async function latenciesWithDroppingReplica(
  mechanisms: Partial<GatewayMechanisms>,
): Promise<number[]> {
  const [harness, [dropping, slow]] = await start(2, mechanisms);
  if (dropping === undefined || slow === undefined) return expect.fail('no replicas');
  slow.workMs = SLOW_MS;
  dropSynPackets(harness, dropping);
  const { clock } = harness.machine.environment;
  const times: number[] = [];
  for (let index = 0; index < 8; index += 1) {
    const sentAt = clock.now();
    const answer = await harness.call({ path: '/ledger/1', deadlineMs: DEADLINE_MS });
    expect(answer.status).toBe(200);
    times.push(clock.now() - sentAt);
    await harness.simulation.runFor(CONNECTIONS_CLOSED_MS);
  }
  return times;
}

describe('the bounds of opening connections', () => {
  it('leave time for another replica within the target, and none after half of it', () => {
    expect(connectTimeout(TARGET_MS, 0)).toBe(100);
    expect(connectTimeout(TARGET_MS, 450)).toBe(50);
    expect(connectTimeout(TARGET_MS, sendTimeout(TARGET_MS))).toBe(1);
    expect(connectTimeout(60, 0)).toBe(30);
  });

  it('leave a further sending as long however late it is', () => {
    expect(connectTimeout(TARGET_MS, undefined)).toBe(100);
    expect(connectTimeout(60, undefined)).toBe(50);
  });
});

describe('a request whose replica drops opening packets', () => {
  it('goes to another one soon', async () => {
    const bounded = await latenciesWithDroppingReplica({});
    const unbounded = await latenciesWithDroppingReplica({ boundedConnecting: false });
    const most = connectTimeout(TARGET_MS, 0) + SLOW_MS + 20;
    expect(Math.max(...bounded)).toBeLessThan(most);
    expect(Math.max(...unbounded)).toBeGreaterThan(most + SLOW_MS / 2);
  });

  it('is refused within half of its target where there is no other, and never arrives', async () => {
    const [harness, replicas] = await start(3);
    const heals = replicas.map((replica) => dropSynPackets(harness, replica));
    const { clock } = harness.machine.environment;
    const sentAt = clock.now();
    const answer = await harness.call({ path: '/ledger/1', deadlineMs: DEADLINE_MS });
    expect(answer.status).toBe(503);
    expect(clock.now() - sentAt).toBeLessThanOrEqual(sendTimeout(TARGET_MS) + 10);
    for (const heal of heals) heal();
    await harness.simulation.runFor(DEADLINE_MS);
    expect(replicas.flatMap(({ runs }) => runs)).toEqual([]);
  });
});

/** Sends requests while links to replicas fail and heal and replicas refuse; counts what came of it. */
async function runRandomSchedule(seed: number): Promise<{ refused: number; answered: number }> {
  const random = seededRandom(seed, 'schedule');
  const [harness, replicas] = await start(3, { hedging: true }, seed);
  await harness.putRoutes([{ ...ROUTE, execution: 'atMostOnce' }]);
  const answers: Promise<{ id: string; status: number }>[] = [];
  for (let index = 0; index < 40; index += 1) {
    for (const replica of replicas) {
      replica.workMs = random.nextInteger(1, 300);
      const isRefusing = random.nextFloat() < 0.3;
      replica.behaviour = isRefusing ? ReplicaBehaviour.Refuse : ReplicaBehaviour.Serve;
      if (random.nextFloat() > 0.5) continue;
      const heal = dropSynPackets(harness, replica);
      harness.simulation.at(harness.simulation.now + random.nextInteger(1, 1_500), heal);
    }
    const id = `call-${index}`;
    const gone = new AbortController();
    const sent = harness.send({ path: '/ledger/1', id, deadlineMs: 900, signal: gone.signal });
    const settled = sent.then(
      ({ status }) => ({ id, status }),
      () => ({ id, status: 0 }),
    );
    answers.push(settled);
    await harness.simulation.runFor(random.nextInteger(1, 400));
    if (random.nextFloat() < 0.1) gone.abort();
  }
  const all = await harness.simulation.settle(Promise.all(answers));
  await harness.simulation.runFor(DEADLINE_MS);
  const runs = replicas.flatMap((replica) => replica.runs.map(({ requestId }) => requestId));
  expect(new Set(runs).size).toBe(runs.length);
  const refused = all.filter(({ status }) => status === 503);
  for (const { id } of refused) expect(runs).not.toContain(id);
  return { refused: refused.length, answered: all.filter(({ status }) => status === 200).length };
}

describe('a refusal as not run', () => {
  it('is given only when no replica runs the request, then or later', async () => {
    const counts = { refused: 0, answered: 0 };
    for (let seed = 1; seed <= 6; seed += 1) {
      const { refused, answered } = await runRandomSchedule(seed);
      counts.refused += refused;
      counts.answered += answered;
    }
    // Both ways are taken often enough to show something.
    expect(counts.refused).toBeGreaterThan(10);
    expect(counts.answered).toBeGreaterThan(50);
  });
});
