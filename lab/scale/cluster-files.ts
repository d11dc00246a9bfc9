/** Who belongs to the cluster of a scale run, and on which ports of this machine. */
import { formatAddress } from '../../src/seams/address.js';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';
import { findFreePorts } from '../fleet/free-ports.js';
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

/** Settings files of `count` controllers, one a zone; all vote. */
export async function createClusterFiles(count: number, folder: string): Promise<ClusterFiles> {
  const addresses = (await findFreePorts(count * 2, ownHost())).map(formatAddress);
  const token = createTokenText('bootstrap');
  const endpoints = Array.from({ length: count }, (_, index) => ({
    memberId: `controller-${index + 1}`,
    zone: zoneName(index),
    address: addresses[index] ?? '',
  }));
  const controllers = endpoints.map(({ memberId, zone, address }, index) => ({
    memberId,
    region: SCALE_REGION,
    zone,
    cluster: CLUSTER,
    dataFolder: `${folder}/${memberId}`,
    listen: { http: addresses[count + index] ?? '', messages: address },
    initialMembers: endpoints,
    administration: { bootstrapTokenHash: hashToken(token) },
  }));
  return { cluster: CLUSTER, controllers, token };
}
