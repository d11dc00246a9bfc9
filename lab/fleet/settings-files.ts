/** Writes the settings files of a fleet's processes, as an operator would by hand. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { ShardDefinition } from '../../src/model/service-definition.js';
import { formatAddress, type Address } from '../../src/seams/address.js';
import { hashToken } from '../../src/settings/token-text.js';
import type { BackendReplica } from '../backend/backend-process-file.js';
import type { FleetFile } from './fleet-file.js';
import { inTurn } from './fleet-layout.js';

/** A controller's place in the fleet. */
export interface ControllerPlace {
  readonly memberId: string;
  readonly zone: string;
  readonly http: Address;
  readonly messages: Address;
}

/** What the settings files of one fleet have in common. */
export interface FleetTerms {
  readonly file: FleetFile;
  /** Where the files go, and the data folders of controllers. */
  readonly folder: string;
  readonly clusterKey: string;
  readonly token: string;
  readonly controllers: readonly ControllerPlace[];
}

function endpoints({ controllers }: FleetTerms): unknown[] {
  return controllers.map(({ memberId, zone, messages }) => ({
    memberId,
    zone,
    address: formatAddress(messages),
  }));
}

/** JSON is YAML too. Returns the path of the file. */
async function writeSettings(folder: string, name: string, content: unknown): Promise<string> {
  const path = join(folder, `${name}.yaml`);
  await writeFile(path, `${JSON.stringify(content, undefined, 2)}\n`);
  return path;
}

function placeAndCluster({ file, clusterKey }: FleetTerms, zone: string): object {
  const cluster = { id: file.name, key: clusterKey };
  return { region: file.name, zone, cluster, log: { format: 'json' } };
}

/** For `driftway controller`. */
export function writeControllerFile(
  terms: FleetTerms,
  controller: ControllerPlace,
  platformList: Address,
): Promise<string> {
  const { memberId, zone, http, messages } = controller;
  return writeSettings(terms.folder, memberId, {
    ...placeAndCluster(terms, zone),
    memberId,
    dataFolder: join(terms.folder, memberId),
    listen: { http: formatAddress(http), messages: formatAddress(messages) },
    initialMembers: endpoints(terms),
    administration: { bootstrapTokenHash: hashToken(terms.token) },
    platformList: formatAddress(platformList),
  });
}

/** For `driftway router`. */
export function writeRouterFile(terms: FleetTerms, name: string, index: number): Promise<string> {
  return writeSettings(terms.folder, name, {
    ...placeAndCluster(terms, inTurn(terms.file.zones, index)),
    name,
    listen: { http: '127.0.0.1:0' },
    controllers: endpoints(terms),
  });
}

/** For `driftway-lab backend`. */
export function writeBackendFile(
  terms: FleetTerms,
  name: string,
  replicas: readonly BackendReplica[],
  platformList: Address,
): Promise<string> {
  const { seed } = terms.file;
  return writeSettings(terms.folder, name, {
    control: '127.0.0.1:0',
    platformList: formatAddress(platformList),
    ledgerFile: ledgerFileOf(terms.folder, name),
    ...(seed === undefined ? {} : { seed }),
    replicas: replicas.map(({ address, ...replica }) => ({
      ...replica,
      address: formatAddress(address),
    })),
  });
}

/** Where the back-end process of this name leaves its ledger when it stops. */
export function ledgerFileOf(folder: string, name: string): string {
  return join(folder, `${name}.ledger.json`);
}

/** For `driftway settings apply`. */
export function writeChangeFile(
  folder: string,
  name: string,
  content: { readonly reason: string; readonly operations: readonly unknown[] },
): Promise<string> {
  return writeSettings(folder, name, content);
}

/** For `driftway services repartition`. */
export function writeShardsFile(
  folder: string,
  name: string,
  shards: readonly ShardDefinition[],
): Promise<string> {
  return writeSettings(folder, name, { shards });
}
