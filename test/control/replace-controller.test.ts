import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import type { ChangeResult, MemberList } from '../../src/administration/response-schemas.js';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorError, OperatorExitCode } from '../../src/operator/operator-error.js';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';

const INITIAL = ['controller-1', 'controller-2', 'controller-3'];
const ADDED = 'controller-4';
const TOKEN = createTokenText('bootstrap');
const HTTP_PORT = 7400;
const MESSAGE_PORT = 7500;
const ELECTION_MS = 10_000;

type MemberChange =
  | { readonly action: 'addLearner'; readonly memberId: string; readonly address: string }
  | { readonly action: 'promote' | 'remove'; readonly memberId: string };

/** Sends a membership change as `driftway members` does. */
function changeMembers(client: OperatorClient, body: MemberChange): Promise<MemberList> {
  const request = { method: 'POST', target: '/v1/members', body, resendable: true } as const;
  return client.send<MemberList>(request);
}

/** Follows the steps of docs/operators/replace-controller.md. */
async function replaceController(
  client: OperatorClient,
  lostId: string,
  at: string,
): Promise<MemberList> {
  await changeMembers(client, { action: 'addLearner', memberId: ADDED, address: at });
  await changeMembers(client, { action: 'promote', memberId: ADDED });
  return changeMembers(client, { action: 'remove', memberId: lostId });
}

/** A simulated group whose members are changed by an operator. */
class ManualGroup {
  readonly simulation = new Simulation(9);
  private readonly machines = new Map<string, SimulatedMachine>();

  constructor() {
    for (const id of [...INITIAL, ADDED]) {
      this.machines.set(id, this.simulation.createMachine(id, `zone-of-${id}`));
    }
  }

  machine(id: string): SimulatedMachine {
    return this.machines.get(id) ?? expect.fail(id);
  }

  messageAddress(id: string): string {
    return `${this.machine(id).host}:${MESSAGE_PORT}`;
  }

  start(id: string, join = false): Promise<ControllerDaemon> {
    const { host, zone, environment } = this.machine(id);
    const configuration = controllerConfigurationSchema.parse({
      memberId: id,
      region: 'dohoku',
      zone,
      cluster: { id: 'dohoku', key: 'a-long-random-secret' },
      dataFolder: 'unused',
      listen: { http: `${host}:${HTTP_PORT}`, messages: this.messageAddress(id) },
      initialMembers: INITIAL.map((memberId) => ({
        memberId,
        zone: `zone-of-${memberId}`,
        address: this.messageAddress(memberId),
      })),
      join,
      administration: { bootstrapTokenHash: hashToken(TOKEN) },
    });
    const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
    return this.simulation.settle(ControllerDaemon.start(environment, configuration, telemetry));
  }

  /** Creates an operator's client that asks these controllers, in this order. */
  operator(...ids: readonly string[]): OperatorClient {
    const machine = this.simulation.createMachine(`operator-${this.simulation.now}`, 'office');
    const { clock, network } = machine.environment;
    return new OperatorClient(network, clock, {
      controllers: ids.map((id) => ({ host: this.machine(id).host, port: HTTP_PORT })),
      token: TOKEN,
      attemptTimeoutMs: 5_000,
      totalTimeoutMs: 30_000,
    });
  }

  /** Sends a membership change and closes the connection after a second. */
  async giveUp(id: string, change: MemberChange): Promise<void> {
    const machine = this.simulation.createMachine(`caller-${this.simulation.now}`, 'office');
    const address = { host: this.machine(id).host, port: HTTP_PORT };
    const client = machine.environment.network.httpClient(address, {
      connections: 1,
      maximumResponseBytes: 100_000,
      connectTimeout: 1_000,
      keepAliveTimeout: 1_000,
    });
    const headers = { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' };
    const body = JSON.stringify(change);
    const request = client.request({ method: 'POST', path: '/v1/members', headers, body });
    request.catch(() => undefined);
    await this.simulation.runFor(1_000);
    client.destroy();
  }

  async accept(client: OperatorClient, revision: number): Promise<void> {
    const result = await this.simulation.settle(
      client.post<ChangeResult>('/v1/changes', {
        changeId: `change-${revision}`,
        baseRevision: revision - 1,
        author: 'operator',
        reason: 'test',
        operations: [{ type: 'set', scope: 'defaults', key: 'queueLimit', value: revision }],
      } as never),
    );
    expect(result.revision).toBe(revision);
  }
}

describe('replacement of a controller whose disk is lost', () => {
  it.each(INITIAL)(
    'leaves a group that tolerates another failure right afterwards (%s lost)',
    async (lostId) => {
      const group = new ManualGroup();
      for (const id of INITIAL) await group.start(id);
      await group.simulation.runFor(ELECTION_MS);
      const rest = INITIAL.filter((id) => id !== lostId);
      const client = group.operator(...rest);
      await group.accept(client, 1);
      group.machine(lostId).restart({ keepDisk: false });
      await group.simulation.runFor(ELECTION_MS);
      const wiped = await group.start(lostId);
      const cause = await group.simulation.settle(wiped.failure);
      expect(cause.message).toContain('docs/operators/replace-controller.md');
      await group.start(ADDED, true);
      const address = group.messageAddress(ADDED);
      const { members } = await group.simulation.settle(replaceController(client, lostId, address));
      const voters = members.filter(({ voter }) => voter).map(({ memberId }) => memberId);
      expect(voters.toSorted()).toEqual([...rest, ADDED].toSorted());
      // Repeating the steps, as after a lost response, changes nothing.
      await group.simulation.settle(replaceController(client, lostId, address));
      await group.accept(client, 2);
      const [second = '', survivor = ''] = rest;
      group.machine(second).crash({ power: true });
      const after = group.operator(ADDED, survivor);
      await group.accept(after, 3);
      const history = await group.simulation.settle(
        after.get<{ changes: { changeId: string }[] }>('/v1/history'),
      );
      const accepted = history.changes.map(({ changeId }) => changeId);
      expect(accepted).toEqual(['change-3', 'change-2', 'change-1']);
    },
  );

  it('refuses an invalid membership change at once, whether the leader or a follower is asked', async () => {
    const group = new ManualGroup();
    for (const id of INITIAL) await group.start(id);
    await group.simulation.runFor(ELECTION_MS);
    for (const id of INITIAL) {
      const change = changeMembers(group.operator(id), { action: 'remove', memberId: 'nobody' });
      const refusal = await group.simulation.settle(
        change.then(
          (list: MemberList) => list,
          (error: unknown) => error,
        ),
      );
      expect(refusal).toBeInstanceOf(OperatorError);
      expect((refusal as OperatorError).exitCode).toBe(OperatorExitCode.BadInput);
    }
  });

  // Guards against a removal that is carried out long after its caller gave it up and decided otherwise.
  it.each(INITIAL)('does not remove a member for a call that was given up at %s', async (late) => {
    const group = new ManualGroup();
    for (const id of INITIAL) await group.start(id);
    await group.start(ADDED, true);
    await group.simulation.runFor(ELECTION_MS);
    const client = group.operator(...INITIAL.filter((id) => id !== late));
    const address = group.messageAddress(ADDED);
    const added = { action: 'addLearner', memberId: ADDED, address } as const;
    await group.simulation.settle(changeMembers(client, added));
    group.machine(late).freeze(6_000);
    await group.giveUp(late, { action: 'remove', memberId: ADDED });
    await group.simulation.runFor(ELECTION_MS / 2);
    const promoted = { action: 'promote', memberId: ADDED } as const;
    await group.simulation.settle(changeMembers(client, promoted));
    await group.simulation.runFor(ELECTION_MS);
    const { members } = await group.simulation.settle(client.get<MemberList>('/v1/status'));
    expect(members).toContainEqual(expect.objectContaining({ memberId: ADDED, voter: true }));
  });
});
