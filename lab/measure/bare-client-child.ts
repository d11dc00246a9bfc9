/**
 * Child process that sends what a router would send to the same back ends, with
 * undici alone: no admission, no choice, no verification, no merge. Its cost is
 * the floor that the router is compared with.
 */
import { Pool, type Dispatcher } from 'undici';
import { BACKEND_QUERY_PATH, BackendHeader } from '../../src/model/backend-protocol.js';
import { serveOperations } from './child-operations.js';
import {
  MEASURED_DEADLINE,
  MEASURED_QUERY,
  MEASURED_SERVICE,
  shardName,
} from './measured-service.js';
import { startOpenLoop, type OpenLoop } from './open-loop.js';
import { readProcessUsage, type ProcessUsage } from './process-usage.js';

/** `dispatch` is undici's least costly interface, `request` the documented everyday one. */
export type BareInterface = 'dispatch' | 'request';

/** Whom to ask and how often. */
export interface StartBareClient {
  readonly ports: readonly number[];
  readonly connections: number;
  readonly queriesPerSecond: number;
  readonly interface: BareInterface;
}

/** Counted since the start of the process. */
export interface RequestCounts {
  readonly answered: number;
  readonly failed: number;
}

const BODY = JSON.stringify(MEASURED_QUERY);

let pools: Pool[] = [];
let loop: OpenLoop | undefined;
let queryNumber = 0;
let answered = 0;
let failed = 0;

function headers(shard: number): Record<string, string> {
  return {
    'content-type': 'application/json',
    [BackendHeader.RequestId]: `bare-${queryNumber}`,
    [BackendHeader.AttemptId]: `bare-${queryNumber}-${shard}`,
    [BackendHeader.Service]: MEASURED_SERVICE,
    [BackendHeader.ShardId]: shardName(shard),
    [BackendHeader.Snapshot]: '1.1',
    [BackendHeader.DeadlineMs]: String(MEASURED_DEADLINE),
    [BackendHeader.Repeatable]: 'true',
  };
}

function options(shard: number): Dispatcher.DispatchOptions & Dispatcher.RequestOptions {
  return { method: 'POST', path: BACKEND_QUERY_PATH, headers: headers(shard), body: BODY };
}

function dispatchOne(pool: Pool, shard: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    pool.dispatch(options(shard), {
      onConnect: () => undefined,
      onHeaders: () => true,
      onData: (chunk) => chunks.push(chunk) > 0,
      onComplete: () => resolve(Buffer.concat(chunks)),
      onError: reject,
    });
  });
}

async function requestOne(pool: Pool, shard: number): Promise<ArrayBuffer> {
  const { body } = await pool.request(options(shard));
  return body.arrayBuffer();
}

async function ask(pool: Pool, shard: number, chosen: BareInterface): Promise<void> {
  try {
    await (chosen === 'dispatch' ? dispatchOne(pool, shard) : requestOne(pool, shard));
    answered += 1;
  } catch {
    failed += 1;
  }
}

async function askAll(chosen: BareInterface): Promise<void> {
  queryNumber += 1;
  await Promise.all(pools.map((pool, shard) => ask(pool, shard, chosen)));
}

function start(input: StartBareClient): void {
  pools = input.ports.map(
    (port) =>
      new Pool(`http://127.0.0.1:${port}`, {
        connections: input.connections,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
  );
  loop = startOpenLoop(input.queriesPerSecond, () => askAll(input.interface));
}

async function stop(): Promise<void> {
  await loop?.stop();
  await Promise.all(pools.map((pool) => pool.close()));
  pools = [];
}

const operations = {
  start,
  stop,
  counts: (): RequestCounts => ({ answered, failed }),
  usage: (collect: boolean): ProcessUsage => readProcessUsage(collect),
};
export type BareClientOperations = typeof operations;

serveOperations(operations);
