import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { DEPLOYMENTS, type DeploymentName } from '../../../lab/bench/deployment.js';
import { dealReplicas } from '../../../lab/fleet/fleet-layout.js';
import { fleetFileSchema } from '../../../lab/fleet/fleet-file.js';
import { checkedInFleet } from '../../../lab/fleet/program.js';
import { readConfiguration } from '../../../src/configuration/read-configuration.js';

const NAMES = Object.keys(DEPLOYMENTS) as DeploymentName[];

function readFleet(name: DeploymentName): ReturnType<typeof fleetFileSchema.parse> {
  const path = checkedInFleet(name);
  return readConfiguration(fleetFileSchema, path, readFileSync(path, 'utf8'));
}

describe('checked-in fleet files', () => {
  it.each(NAMES)('%s has the sizes of the deployment', (name) => {
    const { zones, clientLatency, services, controllers, routers } = readFleet(name);
    const sizes = services.map((service) => {
      const { kind, shards, replicasPerShard, slots, connections } = service;
      return [service.name, { kind, shards, replicasPerShard, slots, connections }];
    });
    expect({ zones, clientLatency, services: Object.fromEntries(sizes) as unknown }).toEqual(
      DEPLOYMENTS[name],
    );
    expect([controllers, routers]).toEqual([3, 2]);
  });

  it.each(NAMES)('%s deals the siblings of a shard to different processes', (name) => {
    const file = readFleet(name);
    for (const replicas of dealReplicas(file)) {
      const shards = replicas.filter(({ service }) => service === file.services[0]?.name);
      const ids = shards.flatMap(({ shardIds }) => shardIds);
      expect(new Set(ids).size).toBe(ids.length);
    }
  });

  it('names a wrong key with its path', () => {
    const text = readFileSync(checkedInFleet('dohoku'), 'utf8').replace('routers: 2', 'routers: 0');
    expect(() => readConfiguration(fleetFileSchema, 'fleet.yaml', text)).toThrow(/routers: /);
  });

  it('turns away queries of a service it does not have', () => {
    const text = readFileSync(checkedInFleet('dohoku'), 'utf8');
    const wrong = `${text}  - service: no-such-service\n`;
    expect(() => readConfiguration(fleetFileSchema, 'fleet.yaml', wrong)).toThrow(
      /there is no service no-such-service/,
    );
  });
});
