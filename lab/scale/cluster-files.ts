/** Who belongs to the cluster of a scale run, and on which ports of this machine. */
import { createServer, type AddressInfo } from 'node:net';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';
import { SCALE_REGION, zoneName } from './scale-configuration.js';

const BYTE = 256;

/**
 * An address of this process alone. Connections leave from 127.0.0.1, so that
 * none takes a port here between its choice and its use.
 */
function ownHost(): string {
  const high = Math.floor(process.pid / BYTE) % BYTE;
  return `127.2.${high}.${process.pid % BYTE}`;
}

const HOST = ownHost();
const CLUSTER = { id: 'scale', key: 'a-key-for-scale-runs' };

/** A controller's settings file, as it would be written in YAML. */
export interface ControllerFile {
  readonly memberId: string;
  readonly zone: string;
  readonly listen: { readonly http: string; readonly messages: string };
  readonly [key: string]: unknown;
}

/** What every process of a run is told. */
export interface ClusterFiles {
  readonly cluster: typeof CLUSTER;
  readonly controllers: readonly ControllerFile[];
  /** Bootstrap token of the operator. */
  readonly token: string;
}

/** Ports that were free a moment ago, all different. */
async function pickPorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, HOST, resolve);
    });
    ports.push((server.address() as AddressInfo).port);
  }
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Settings files of `count` controllers, one a zone; all vote. */
export async function createClusterFiles(count: number, folder: string): Promise<ClusterFiles> {
  const ports = await pickPorts(count * 2);
  const token = createTokenText('bootstrap');
  const endpoints = Array.from({ length: count }, (_, index) => ({
    memberId: `controller-${index + 1}`,
    zone: zoneName(index),
    address: `${HOST}:${ports[index]}`,
  }));
  const controllers = endpoints.map(({ memberId, zone, address }, index) => ({
    memberId,
    region: SCALE_REGION,
    zone,
    cluster: CLUSTER,
    dataFolder: `${folder}/${memberId}`,
    listen: { http: `${HOST}:${ports[count + index]}`, messages: address },
    initialMembers: endpoints,
    administration: { bootstrapTokenHash: hashToken(token) },
  }));
  return { cluster: CLUSTER, controllers, token };
}
