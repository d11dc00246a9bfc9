/** Gives a started fleet its first configuration and waits until it serves. */
import type { Environment } from '../../src/seams/environment.js';
import type { Address } from '../../src/seams/address.js';
import { BackendControlClient } from '../backend/backend-control-client.js';
import type { Fleet } from './fleet.js';
import { firstChange } from './fleet-layout.js';
import { writeChangeFile } from './settings-files.js';

const POLL_INTERVAL = 50;
/** Longest wait for a router to become ready. Milliseconds. */
const READY_PATIENCE = 20_000;
const STATUS_OK = 200;
const PROBE_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 65_536,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};

/** Where each replica listens, by replica id. */
async function findReplicas(
  environment: Environment,
  controls: Iterable<Address>,
): Promise<ReadonlyMap<string, string>> {
  const addresses = new Map<string, string>();
  for (const control of controls) {
    const client = new BackendControlClient(environment.network, control);
    for (const { replicaId, address } of await client.listReplicas()) {
      addresses.set(replicaId, address);
    }
    client.close();
  }
  return addresses;
}

/** Waits until a daemon's `/readyz` says yes. */
async function waitUntilReady(
  { clock, network }: Environment,
  address: Address,
  signal: AbortSignal,
): Promise<void> {
  const client = network.httpClient(address, PROBE_OPTIONS);
  const probe = { method: 'GET', path: '/readyz', headers: {}, signal };
  const giveUpAt = clock.now() + READY_PATIENCE;
  try {
    while ((await client.request(probe)).status !== STATUS_OK) {
      if (clock.now() > giveUpAt) throw new Error(`${address.port} did not become ready`);
      await clock.sleep(POLL_INTERVAL, signal);
    }
  } finally {
    client.destroy();
  }
}

/** @throws Error when the change is not accepted, or a router does not become ready. */
export async function configureFleet(
  environment: Environment,
  fleet: Fleet,
  signal: AbortSignal,
): Promise<void> {
  const { file, folder } = fleet.terms;
  const addresses = await findReplicas(environment, fleet.backendControls.values());
  const change = { reason: 'first configuration', operations: firstChange(file, addresses) };
  const path = await writeChangeFile(folder, 'first-change', change);
  await fleet.operator.require('settings', 'apply', '--file', path);
  await Promise.all(
    fleet.routers.map(({ address }) => waitUntilReady(environment, address, signal)),
  );
}
