/** Random operations over few names, so that they often meet. */
import fc from 'fast-check';
import type { Operation } from '../../src/settings/change.js';
import { serviceSettingsSchema } from '../../src/settings/service-settings.js';

const REGIONS = ['dohoku', 'constructor'];
const ZONES = ['nayoro', 'wakkanai', 'asahikawa-a'];
const SERVICES = ['kifu-audit', 'relief-pledge'];

const region = fc.constantFrom(...REGIONS);
const zone = fc.constantFrom(...ZONES);
const service = fc.constantFrom(...SERVICES);
const shardId = fc.constantFrom('s0', 's1');
const layoutEpoch = fc.integer({ min: 1, max: 4 });

const scope = fc.oneof(
  fc.constant('defaults'),
  region.map((name) => `region/${name}`),
  zone.map((name) => `zone/${name}`),
  service.map((name) => `service/${name}`),
);

const settingValue = fc.oneof(
  fc.constantFrom(0, 0.5, 1, 2, 50, 1_000, 30_000, 40_000, 600_000, 700_000),
  fc.constantFrom('quantile', 'none', 'serve', 'random', 'bogus'),
);

const key = fc.constantFrom(...serviceSettingsSchema.keyof().options);

const replica = fc
  .record({ number: fc.integer({ min: 0, max: 5 }), zone })
  .map(({ number, zone: replicaZone }) => ({
    replicaId: `r${number}`,
    address: `127.0.0.1:${7_000 + number}`,
    zone: replicaZone,
    slots: 2,
    connections: 70,
  }));

const shards = fc.array(fc.record({ shardId, replicas: fc.array(replica, { maxLength: 2 }) }), {
  minLength: 1,
  maxLength: 2,
});

const createService = fc.record({
  type: fc.constant('createService' as const),
  service: fc.record({
    name: service,
    kind: fc.constantFrom('sharded' as const, 'single' as const),
    region,
    layouts: fc.array(fc.record({ layoutEpoch, shards }), { minLength: 1, maxLength: 2 }),
  }),
});

/** One operation, often one that does not fit. */
export const anyOperation: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant('set' as const), scope, key, value: settingValue }),
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('unset' as const), scope, key }) },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('createRegion' as const),
      region,
      zones: fc.uniqueArray(zone, { minLength: 1, maxLength: 3 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('addZone' as const), region, zone }) },
  { weight: 3, arbitrary: createService },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('removeService' as const), service }) },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant('repartition' as const), service, shards }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('dropLayout' as const), service, layoutEpoch }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant('addReplica' as const), service, shardId, replica }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('removeReplica' as const),
      service,
      replicaId: fc.constantFrom('r0', 'r1', 'r2'),
    }),
  },
);

/** The operations of several changes, in order. */
export const anyHistory = fc.array(fc.array(anyOperation, { minLength: 1, maxLength: 3 }), {
  minLength: 1,
  maxLength: 40,
});
