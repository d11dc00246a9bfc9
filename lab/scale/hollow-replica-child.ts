/** Child process that holds hollow replicas: each listens on an address of its own and only reports. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { BACKEND_REPORT_PATH, type BackendReport } from '../../src/model/backend-protocol.js';
import type { ReplicaDefinition } from '../../src/model/service-definition.js';
import { serveOperations } from '../measure/child-operations.js';
import { readProcessUsage, type ProcessUsage } from '../measure/process-usage.js';
import { scaleReplica } from './scale-configuration.js';

/** Which replicas to start. */
export interface StartReplicas {
  readonly firstIndex: number;
  readonly count: number;
  readonly zones: number;
}

let reports = 0;
let closedSocketBytes = 0;
const sockets = new Set<Socket>();

function bytesOf({ bytesRead, bytesWritten }: Socket): number {
  return bytesRead + bytesWritten;
}

function follow(socket: Socket): void {
  sockets.add(socket);
  socket.once('close', () => {
    sockets.delete(socket);
    closedSocketBytes += bytesOf(socket);
  });
}

function listen(server: Server, host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve((server.address() as AddressInfo).port));
  });
}

async function startOne(index: number, zones: number): Promise<ReplicaDefinition> {
  const definition = scaleReplica(index, zones, 0);
  const report: BackendReport = {
    replicaId: definition.replicaId,
    incarnation: 1,
    draining: false,
    load: 0,
    snapshots: ['1.1'],
  };
  const body = JSON.stringify(report);
  const headers = { 'content-type': 'application/json', 'content-length': body.length };
  const server = createServer((request, response) => {
    const known = request.url === BACKEND_REPORT_PATH;
    if (known) reports += 1;
    response.writeHead(known ? 200 : 404, headers).end(body);
  });
  server.on('connection', follow);
  const [host] = definition.address.split(':');
  const port = await listen(server, host ?? '');
  return scaleReplica(index, zones, port);
}

async function start({ firstIndex, count, zones }: StartReplicas): Promise<ReplicaDefinition[]> {
  const definitions: ReplicaDefinition[] = [];
  for (let index = firstIndex; index < firstIndex + count; index += 1) {
    definitions.push(await startOne(index, zones));
  }
  return definitions;
}

const operations = {
  start,
  /** Reports given so far. */
  reports: (): number => reports,
  /** Bytes of all connections so far, both ways, HTTP included, TCP and IP not. */
  socketBytes: (): number =>
    [...sockets].reduce((total, socket) => total + bytesOf(socket), closedSocketBytes),
  usage: (collect: boolean): ProcessUsage => readProcessUsage(collect),
};
export type HollowReplicaOperations = typeof operations;

serveOperations(operations);
