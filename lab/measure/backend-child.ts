/** Child process that holds stand-in back ends. */
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { DEFAULT_BACKEND_OPTIONS } from '../backend/backend-options.js';
import { Backend } from '../backend/backend.js';
import { BackendLedger } from '../ledger/backend-ledger.js';
import { serveOperations } from './child-operations.js';
import { MEASURED_SERVICE, replicaName, shardName } from './measured-service.js';
import { readProcessUsage, type ProcessUsage } from './process-usage.js';

/** Which replicas to start. */
export interface StartBackends {
  readonly firstIndex: number;
  readonly count: number;
  readonly connections: number;
  /** Constant time of work. Milliseconds. */
  readonly serviceTime: number;
}

const SLOTS = 10_000;

async function start(input: StartBackends): Promise<number[]> {
  const environment = createNodeEnvironment();
  const ledger = new BackendLedger(environment.clock);
  const ports: number[] = [];
  for (let offset = 0; offset < input.count; offset += 1) {
    const index = input.firstIndex + offset;
    const backend = await Backend.start(environment, {
      ...DEFAULT_BACKEND_OPTIONS,
      address: { host: '127.0.0.1', port: 0 },
      replicaId: replicaName(index),
      service: MEASURED_SERVICE,
      shardIds: [shardName(index)],
      slots: SLOTS,
      connections: input.connections,
      serviceTime: {
        distribution: { kind: 'constant', mean: input.serviceTime },
        stragglers: { share: 0, minimumFactor: 1, maximumFactor: 1 },
      },
      ledger,
    });
    ports.push(backend.address.port);
  }
  return ports;
}

const operations = {
  start,
  usage: (): ProcessUsage => readProcessUsage(true),
};
export type BackendChildOperations = typeof operations;

serveOperations(operations);
