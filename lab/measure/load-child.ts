/** Child process that sends queries to a router, on schedule or all at once. */
import { Pool } from 'undici';
import { serveOperations } from './child-operations.js';
import { MEASURED_DEADLINE, MEASURED_QUERY, MEASURED_SERVICE } from './measured-service.js';
import { startOpenLoop, type OpenLoop } from './open-loop.js';

/** Where to send and how often. */
export interface StartLoad {
  readonly port: number;
  readonly queriesPerSecond: number;
}

/** Queries to hold open at once. */
export interface HoldQueries {
  readonly port: number;
  readonly count: number;
}

/** Counted since the start of the process. */
export interface LoadCounts {
  readonly answered: number;
  /** By HTTP status, 0 when there was no response. */
  readonly failed: Readonly<Record<string, number>>;
}

const CONNECTIONS = 256;
const STATUS_OK = 200;

let pool: Pool | undefined;
let loop: OpenLoop | undefined;
let sent = 0;
let answered = 0;
const failed: Record<string, number> = {};
let held: Promise<void>[] = [];

function open(port: number, connections: number): Pool {
  return new Pool(`http://127.0.0.1:${port}`, {
    connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

async function post(target: Pool): Promise<number> {
  sent += 1;
  const { statusCode, body } = await target.request({
    method: 'POST',
    path: `/v1/services/${MEASURED_SERVICE}/query`,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      requestId: `query-${process.pid}-${sent}`,
      deadlineMs: MEASURED_DEADLINE,
      query: MEASURED_QUERY,
    }),
  });
  await body.arrayBuffer();
  return statusCode;
}

async function ask(target: Pool): Promise<void> {
  const status = await post(target).catch(() => 0);
  if (status === STATUS_OK) answered += 1;
  else failed[status] = (failed[status] ?? 0) + 1;
}

function start({ port, queriesPerSecond }: StartLoad): void {
  const target = open(port, CONNECTIONS);
  pool = target;
  loop = startOpenLoop(queriesPerSecond, () => ask(target));
}

async function stop(): Promise<void> {
  await loop?.stop();
  await pool?.close();
}

/** Adds queries that stay open until the back ends answer. */
function hold({ port, count }: HoldQueries): void {
  const target = open(port, count);
  held = held.concat(Array.from({ length: count }, () => ask(target)));
}

/** Opens idle connections: each carries one look at a small page and is then kept. */
async function connect({ port, count }: HoldQueries): Promise<void> {
  const target = new Pool(`http://127.0.0.1:${port}`, {
    connections: count,
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
  });
  const looks = Array.from({ length: count }, async () => {
    const { body } = await target.request({ method: 'GET', path: '/livez' });
    await body.arrayBuffer();
  });
  await Promise.all(looks);
}

const operations = {
  start,
  stop,
  hold,
  connect,
  counts: (): LoadCounts => ({ answered, failed }),
};
export type LoadChildOperations = typeof operations;

serveOperations(operations);
