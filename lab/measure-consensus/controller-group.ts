/** Controllers on loopback, and an operator that asks them. */
import { mkdtemp, rm } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type {
  ChangeResult,
  MemberList,
  StatusReport,
} from '../../src/administration/response-schemas.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import type { Address } from '../../src/seams/address.js';
import { formatAddress } from '../../src/seams/address.js';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';
import { ControllerProcess } from './controller-process.js';

const HOST = '127.0.0.1';
const ATTEMPT_TIMEOUT = 2_000;
const TOTAL_TIMEOUT = 30_000;
const POLL_INTERVAL = 5;
const SETTLE_LIMIT = 30_000;
const LARGEST_VALUE = 100_000;

/** A port that was free a moment ago. */
async function freeAddress(): Promise<Address> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  if (address === null || typeof address === 'string') throw new Error('no port');
  return { host: HOST, port: address.port };
}

export class ControllerGroup {
  readonly controllers: ControllerProcess[] = [];
  /** Revision that was accepted last. */
  revision = 0;
  private readonly token = createTokenText('bootstrap');
  private readonly environment = createNodeEnvironment();

  private constructor(readonly folder: string) {}

  /** Starts a group of `size` and waits for its leader. Data folders lie below the system's folder for temporary files. */
  static async start(size: number): Promise<ControllerGroup> {
    const group = new ControllerGroup(await mkdtemp(join(tmpdir(), 'driftway-consensus-')));
    const addresses = await Promise.all(Array.from({ length: size * 2 }, () => freeAddress()));
    const initialMembers = Array.from({ length: size }, (_, place) => ({
      memberId: `controller-${place + 1}`,
      address: formatAddress(addresses[place * 2] as Address),
      zone: 'nayoro',
    }));
    for (const [place, { memberId }] of initialMembers.entries()) {
      const messages = addresses[place * 2] as Address;
      const http = addresses[place * 2 + 1] as Address;
      group.add({ memberId, messages, http, join: false }, initialMembers);
    }
    for (const controller of group.controllers) await controller.start();
    await group.leader();
    return group;
  }

  /** Starts one more, that waits to be added. */
  async startJoiner(memberId: string): Promise<ControllerProcess> {
    const [messages, http] = [await freeAddress(), await freeAddress()];
    const first = this.controllers[0]?.options.shared['initialMembers'] ?? [];
    const controller = this.add({ memberId, messages, http, join: true }, first);
    await controller.start();
    return controller;
  }

  controller(memberId: string): ControllerProcess {
    const found = this.controllers.find(({ options }) => options.memberId === memberId);
    if (found === undefined) throw new RangeError(`no controller ${memberId}`);
    return found;
  }

  /** Asks these controllers, or all that run, in order. */
  operator(asked = this.controllers.filter(({ running }) => running)): OperatorClient {
    return new OperatorClient(this.environment.network, this.environment.clock, {
      controllers: asked.map(({ options }) => options.http),
      token: this.token,
      attemptTimeoutMs: ATTEMPT_TIMEOUT,
      totalTimeoutMs: TOTAL_TIMEOUT,
    });
  }

  /** Waits until a running controller leads and has committed its opening record; its id. */
  async leader(): Promise<string> {
    const deadline = performance.now() + SETTLE_LIMIT;
    while (performance.now() < deadline) {
      for (const controller of this.controllers.filter(({ running }) => running)) {
        const status = await this.status(controller);
        const settled = status !== undefined && status.commitIndex === status.lastIndex;
        if (settled && status.role === 'leader') return controller.options.memberId;
      }
      await this.environment.clock.sleep(POLL_INTERVAL);
    }
    throw new Error('no leader');
  }

  /** Undefined when it does not answer. */
  async status({ options }: ControllerProcess): Promise<StatusReport | undefined> {
    try {
      const response = await fetch(`http://${formatAddress(options.http)}/v1/status`, {
        headers: { authorization: `Bearer ${this.token}` },
      });
      return response.status === 200 ? ((await response.json()) as StatusReport) : undefined;
    } catch {
      return undefined;
    }
  }

  /** Waits until a controller has applied everything that the leader committed. */
  async waitForCatchUp(controller: ControllerProcess): Promise<void> {
    const deadline = performance.now() + SETTLE_LIMIT;
    while (performance.now() < deadline) {
      const leader = await this.status(this.controller(await this.leader()));
      const status = await this.status(controller);
      if (status !== undefined && status.appliedIndex >= (leader?.commitIndex ?? Infinity)) return;
      await this.environment.clock.sleep(POLL_INTERVAL);
    }
    throw new Error(`${controller.options.memberId} does not catch up`);
  }

  /** Makes one change through the client and waits for its answer. */
  async accept(client: OperatorClient): Promise<void> {
    const next = this.revision + 1;
    const result = await client.post<ChangeResult>('/v1/changes', {
      changeId: `change-${next}`,
      baseRevision: this.revision,
      author: 'operator',
      reason: 'measurement',
      operations: [
        { type: 'set', scope: 'defaults', key: 'queueLimit', value: next % LARGEST_VALUE },
      ],
    } as { changeId: string });
    this.revision = result.revision;
  }

  changeMembers(client: OperatorClient, body: object): Promise<MemberList> {
    const request = { method: 'POST', target: '/v1/members', body, resendable: true } as const;
    return client.send<MemberList>(request);
  }

  /** Ends every process it started and removes the data folders. */
  async close(): Promise<void> {
    for (const controller of this.controllers) await controller.kill();
    await rm(this.folder, { recursive: true, force: true });
  }

  private add(
    options: { memberId: string; messages: Address; http: Address; join: boolean },
    initialMembers: unknown,
  ): ControllerProcess {
    const shared = {
      region: 'dohoku',
      zone: 'nayoro',
      cluster: { id: 'measurement', key: 'a-key-for-loopback-only' },
      initialMembers,
      administration: { bootstrapTokenHash: hashToken(this.token) },
    };
    const controller = new ControllerProcess({ ...options, folder: this.folder, shared });
    this.controllers.push(controller);
    return controller;
  }
}
