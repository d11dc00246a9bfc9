/** A deployed fleet with replicas and callers for one test. */
import { request as sendRequest, type Agent, type IncomingHttpHeaders } from 'node:http';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { buildDeployed } from '../../../lab/deployed/deployed-build.js';
import {
  DeployedFleet,
  type DeployedDaemon,
  type DeployedFleetOptions,
} from '../../../lab/deployed/deployed-fleet.js';
import { describeDeployedEnd } from '../../../lab/deployed/deployed-process.js';
import { ProxiedReplicas } from '../../../lab/deployed/proxied-replicas.js';
import { PLATFORM_HEADERS } from '../../../platform/platform-headers.js';
import { createNodeEnvironment } from '../../../src/node/node-environment.js';
import type { Address } from '../../../src/seams/address.js';

type Size = Partial<Omit<DeployedFleetOptions, 'build' | 'folder'>>;

const POLL_MS = 50;
const HTTP_OK = 200;
const CAPACITY = 8;
export const ROUTE_HOST = 'desk.example';
export const SINGLE_SERVICE = 'ledger';
const REPLICAS_OF_SINGLE_SERVICE = 3;
const REPLICAS_PER_SHARD = 2;
const TIMEOUT_MS = 8_000;
export const PATHS = { repeatable: '/look-up/', atMostOnce: '/pay/', fanOut: '/search/' };
const RECORDS = 'record-of-16-b.\n'.repeat(4);

/** What a caller was told. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** One request of a caller. */
export interface Ask {
  readonly path: string;
  readonly requestId: string;
  readonly deadlineMs: number;
  /** Of the kept connection; a new one without it. */
  readonly agent?: Agent;
}

/** A fleet that is not started yet; {@link DeployedSite.close} leaves no process behind. */
export class DeployedSite {
  private readonly environment = createNodeEnvironment();
  readonly replicas: ProxiedReplicas;

  private constructor(
    readonly fleet: DeployedFleet,
    private readonly folder: string,
  ) {
    const controllers = fleet.controllers.map(({ address }) => address);
    this.replicas = new ProxiedReplicas(this.environment, controllers, CAPACITY);
  }

  static async create(size: Size = {}): Promise<DeployedSite> {
    const folder = await mkdtemp(join(tmpdir(), 'driftway-deployed-'));
    const build = await buildDeployed(process.cwd());
    const fleet = new DeployedFleet({ controllers: 3, gateways: 3, ...size, build, folder });
    await fleet.prepare();
    return new DeployedSite(fleet, folder);
  }

  /** Texts of the ends of processes that nobody told to end. */
  get unexpectedEnds(): string[] {
    return this.fleet.unexpectedEnds.map(describeDeployedEnd);
  }

  /** Starts everything; resolves when each gateway answers requests of each kind. */
  async serve(shardCount = 1): Promise<void> {
    await this.fleet.start();
    const shards = Array.from({ length: shardCount }, (_, index) => `shard-${index}`);
    for (let count = 0; count < REPLICAS_OF_SINGLE_SERVICE; count += 1) {
      await this.addReplica(SINGLE_SERVICE);
    }
    for (const shard of shards) {
      for (let count = 0; count < REPLICAS_PER_SHARD; count += 1) await this.addReplica(shard);
    }
    await this.putRoutes(shards);
    await Promise.all(this.fleet.gateways.map((gateway) => this.untilServing(gateway)));
  }

  /** Resolves when the gateway answers requests of each kind. */
  async untilServing({ address }: DeployedDaemon): Promise<void> {
    for (const path of Object.values(PATHS)) {
      const isServed = async (): Promise<boolean> => {
        const answer = await ask(address, { path, requestId: 'first', deadlineMs: 2_000 });
        return answer?.status === HTTP_OK;
      };
      await until(isServed);
    }
  }

  async close(): Promise<void> {
    await this.fleet.stop();
    await this.replicas.stop();
    await rm(this.folder, { recursive: true, force: true });
  }

  private async addReplica(service: string): Promise<void> {
    const { replica } = await this.replicas.add(service);
    replica.content = RECORDS;
  }

  private async putRoutes(shards: readonly string[]): Promise<void> {
    const body = routeDocument(shards);
    const { controllers } = this.fleet;
    await until(async () => {
      for (const { address } of controllers) {
        const status = await put(address, '/v1/routes', body);
        if (status === HTTP_OK) return true;
      }
      return false;
    });
  }
}

function routeDocument(shards: readonly string[]): string {
  const common = { host: ROUTE_HOST, timeoutMs: TIMEOUT_MS, maximumAttempts: 2 };
  const single = { ...common, service: SINGLE_SERVICE };
  const fanOut = { ...common, shards, topRecords: 4, requiredCoverage: 0.5 };
  return JSON.stringify({
    version: 1,
    routes: [
      { ...single, name: 'look-up', pathPrefix: PATHS.repeatable, execution: 'repeatable' },
      { ...single, name: 'pay', pathPrefix: PATHS.atMostOnce },
      { ...fanOut, name: 'search', pathPrefix: PATHS.fanOut, execution: 'repeatable' },
    ],
    services: [SINGLE_SERVICE, ...shards].map((name) => ({ name })),
  });
}

/** Looks again and again; the test's timeout bounds it. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(POLL_MS);
}

function send(
  { host, port }: Address,
  options: object,
  body?: string,
): Promise<Answer | undefined> {
  return new Promise((resolve) => {
    const request = sendRequest({ host, port, ...options }, (response) => {
      response.on('error', () => resolve(undefined));
      response.on('end', () =>
        resolve({ status: response.statusCode ?? 0, headers: response.headers }),
      );
      response.resume();
    });
    request.on('error', () => resolve(undefined));
    request.end(body);
  });
}

async function put(address: Address, path: string, body: string): Promise<number | undefined> {
  const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
  return (await send(address, { method: 'PUT', path, headers, agent: false }, body))?.status;
}

/** Sends one request; undefined when its connection broke. */
export function ask(
  address: Address,
  { path, requestId, deadlineMs, agent }: Ask,
): Promise<Answer | undefined> {
  const headers = {
    host: ROUTE_HOST,
    [PLATFORM_HEADERS.requestId]: requestId,
    [PLATFORM_HEADERS.deadline]: String(deadlineMs),
  };
  return send(address, { path, headers, agent: agent ?? false });
}
