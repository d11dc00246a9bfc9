import { Registry } from 'prom-client';
import { beforeEach, describe, expect, it } from 'vitest';
import { PlatformList } from '../../lab/platform/platform-list.js';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { observe } from '../../src/control-stream/observe.js';
import type { ReplicaSign } from '../../src/model/replica-sign.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';

const SEED = 4;
const ZONES = ['asahikawa-a', 'nayoro', 'wakkanai'];
const TOKEN = createTokenText('bootstrap');
const CLUSTER = { id: 'dohoku', key: 'a-long-random-secret' };
const HTTP_PORT = 7400;
const MESSAGE_PORT = 7500;
const PLATFORM_PORT = 7600;
const CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 1_048_576,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};
/** Stated in docs/design/control-stream.md. */
const IN_FORCE_WITHIN_MS = 7_000;
const ELECTION_MS = 10_000;

let simulation: Simulation;
let hosts: SimulatedMachine[];
let operator: SimulatedMachine;
let controllers: ControllerDaemon[];

function telemetry() {
  return { logger: SILENT_LOGGER, registry: new Registry() };
}

function endpoints() {
  return hosts.map(({ name, zone, host }) => ({
    memberId: name,
    zone,
    address: { host, port: MESSAGE_PORT },
  }));
}

function startController(host: SimulatedMachine): Promise<ControllerDaemon> {
  const configuration = controllerConfigurationSchema.parse({
    memberId: host.name,
    region: 'dohoku',
    zone: host.zone,
    cluster: CLUSTER,
    dataFolder: 'unused',
    listen: { http: `${host.host}:${HTTP_PORT}`, messages: `${host.host}:${MESSAGE_PORT}` },
    initialMembers: endpoints().map(({ address, ...endpoint }) => ({
      ...endpoint,
      address: `${address.host}:${address.port}`,
    })),
    administration: { bootstrapTokenHash: hashToken(TOKEN) },
    platformList: `${operator.host}:${PLATFORM_PORT}`,
  });
  return simulation.settle(ControllerDaemon.start(host.environment, configuration, telemetry()));
}

function startDaemon(name: string, zone: string): ControlStreamClient {
  const { environment } = simulation.createMachine(name, zone);
  const configuration = { name, zone, cluster: CLUSTER, controllers: endpoints() };
  return ControlStreamClient.start(environment, configuration, telemetry());
}

async function request(host: SimulatedMachine, path: string, body?: object): Promise<unknown> {
  const address = { host: host.host, port: HTTP_PORT };
  const client = operator.environment.network.httpClient(address, CLIENT_OPTIONS);
  const response = await client.request({
    method: body === undefined ? 'GET' : 'POST',
    path,
    headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  await client.close();
  const text = Buffer.from(response.body).toString('utf8');
  if (response.status !== 200) throw new Error(text);
  return JSON.parse(text);
}

/** Sets one key through one controller; makes revision `revision`. */
function accept(host: SimulatedMachine, revision: number): Promise<unknown> {
  return simulation.settle(
    request(host, '/v1/changes', {
      changeId: `change-${revision}`,
      baseRevision: revision - 1,
      author: 'operator',
      reason: 'test',
      operations: [{ type: 'set', scope: 'defaults', key: 'queueLimit', value: revision }],
    }),
  );
}

function hostAt(index: number): SimulatedMachine {
  return hosts[index] ?? expect.fail(`no controller ${index}`);
}

/** Cuts a machine off from everything but its own zone's machines, in silence. */
function cutOff({ name, zone }: SimulatedMachine): void {
  for (const other of ZONES.filter((otherZone) => otherZone !== zone)) {
    simulation.cut({ from: { machine: name }, to: { zone: other } });
    simulation.cut({ from: { zone: other }, to: { machine: name } });
  }
}

beforeEach(async () => {
  simulation = new Simulation(SEED);
  operator = simulation.createMachine('operator', 'wakkanai');
  hosts = ZONES.map((zone, index) => simulation.createMachine(`controller-${index + 1}`, zone));
  controllers = [];
  for (const host of hosts) controllers.push(await startController(host));
  await simulation.runFor(ELECTION_MS);
});

describe('a group of controllers', () => {
  it('puts a change accepted at any of them in force everywhere, and each tells so', async () => {
    const daemons = ZONES.map((zone, index) => startDaemon(`router-${index + 1}`, zone));
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    for (const [index, host] of hosts.entries()) await accept(host, index + 1);
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(daemons.map((daemon) => daemon.current()?.revision)).toEqual([3, 3, 3]);
    expect(daemons.map((daemon) => daemon.source)).toEqual(hosts.map(({ name }) => name));
    for (const host of hosts) {
      const report = await simulation.settle(request(host, '/v1/changes/change-3'));
      expect(report).toMatchObject({ force: { daemons: 3, inForce: 3, late: [] } });
      const status = await simulation.settle(request(host, '/v1/status'));
      const known = ZONES.map((zone, index) => ({
        name: `router-${index + 1}`,
        zone,
        revision: 3,
      }));
      expect(status).toMatchObject({ daemons: known });
    }
  });

  it.each([0, 1, 2])('loses no daemon to controller %i cut off in silence', async (index) => {
    const cut = hostAt(index);
    const daemon = startDaemon('router-1', cut.zone);
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(daemon.source).toBe(cut.name);
    const seen: (number | undefined)[] = [];
    observe(daemon.revisions, ({ revision }) => seen.push(revision));
    cutOff(cut);
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    const other = hostAt((index + 1) % hosts.length);
    await accept(other, 1);
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(seen).toEqual([1]);
    expect(daemon.freshness().fresh).toBe(true);
    simulation.healAll();
    await simulation.runFor(60_000);
    expect(daemon.source).toBe(cut.name);
    await accept(cut, 2);
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(seen).toEqual([1, 2]);
  });

  it('comes back from a kill of all of them with what was last accepted', async () => {
    const daemon = startDaemon('router-1', 'nayoro');
    for (let revision = 1; revision <= 20; revision += 1) await accept(hostAt(1), revision);
    for (const host of hosts) host.restart({ keepDisk: true });
    for (const host of hosts) await startController(host);
    await simulation.runFor(ELECTION_MS + IN_FORCE_WITHIN_MS);
    expect(daemon.current()?.revision).toBe(20);
    const late = startDaemon('router-2', 'wakkanai');
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(late.current()).toEqual(daemon.current());
  });

  it('sends daemons to another controller on a planned stop, with no gap in freshness', async () => {
    const daemon = startDaemon('router-1', 'nayoro');
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    const stopped = controllers[1] ?? expect.fail('no controller');
    let stale = false;
    const stopping = stopped.stop();
    for (let checks = 0; checks < 100; checks += 1) {
      await simulation.runFor(50);
      stale ||= !daemon.freshness().fresh;
    }
    await simulation.settle(stopping);
    expect(stale).toBe(false);
    expect(daemon.source).not.toBe(hostAt(1).name);
    await accept(hostAt(0), 1);
    await simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(daemon.current()?.revision).toBe(1);
  });

  it("streams the differences of the platform's list to daemons as signs", async () => {
    const list = await simulation.settle(
      PlatformList.start(operator.environment, {
        address: { host: operator.host, port: PLATFORM_PORT },
        lag: 0,
      }),
    );
    const daemon = startDaemon('router-1', 'nayoro');
    const signs: ReplicaSign[] = [];
    observe(daemon.replicaSigns, (sign) => signs.push(sign));
    const machine = { replicaId: 'replica-1', incarnation: 1 };
    for (const state of ['live', 'draining', 'live', 'gone'] as const) {
      list.set({ ...machine, state });
      await simulation.runFor(3_000);
    }
    expect(signs.map(({ state }) => state)).toEqual(['live', 'draining', 'gone']);
    expect(new Set(signs.map(({ observedBy }) => observedBy))).toEqual(new Set(['platform']));
  });
});
