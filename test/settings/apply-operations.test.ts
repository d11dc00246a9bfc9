import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyOperations } from '../../src/settings/apply-operations.js';
import { ChangeRejectedError } from '../../src/settings/change-rejected-error.js';
import type { Operation } from '../../src/settings/change.js';
import {
  EMPTY_CONFIGURATION,
  type ConfigurationState,
} from '../../src/settings/configuration-state.js';
import { effectiveSettings } from '../../src/settings/effective-settings.js';
import { serviceSettingsSchema } from '../../src/settings/service-settings.js';
import { anyHistory, anyOperation } from './arbitraries.js';
import { DOHOKU, replica, setting } from './fixtures.js';

const START = applyOperations(EMPTY_CONFIGURATION, DOHOKU);

/** Makes any later write to the state throw. */
function freeze<T>(value: T): T {
  if (typeof value === 'object' && value !== null && !Object.isFrozen(value)) {
    Object.freeze(value);
    Object.values(value).forEach(freeze);
  }
  return value;
}

function tryApply(state: ConfigurationState, operations: readonly Operation[]) {
  try {
    return applyOperations(state, operations);
  } catch (error) {
    if (error instanceof ChangeRejectedError) return undefined;
    throw error;
  }
}

function zonesOf(state: ConfigurationState): string[] {
  return Object.values(state.regions).flatMap((region) => region.zones);
}

/** Written apart from the validation in src: says in its own words what a router relies on. */
function expectUsable(state: ConfigurationState): void {
  const zones = zonesOf(state);
  expect(new Set(zones).size).toBe(zones.length);
  const owners = new Map<string, string>();
  for (const [name, service] of Object.entries(state.services)) {
    const homeZones = state.regions[service.region]?.zones ?? [];
    for (const zone of zones) {
      const settings = serviceSettingsSchema.parse(effectiveSettings(state, name, zone));
      expect(settings.defaultDeadlineMs).toBeLessThanOrEqual(settings.maximumDeadlineMs);
      if (settings.hedging === 'quantile') {
        expect(settings.maximumAttemptsPerShard).toBeGreaterThan(1);
      }
    }
    const epochs = service.layouts.map((layout) => layout.layoutEpoch);
    expect(epochs).toEqual([...new Set(epochs)].sort((left, right) => left - right));
    for (const layout of service.layouts) {
      const replicas = layout.shards.flatMap((shard) => shard.replicas);
      expect(new Set(layout.shards.map((shard) => shard.shardId)).size).toBe(layout.shards.length);
      expect(new Set(replicas.map((known) => known.replicaId)).size).toBe(replicas.length);
      if (service.kind === 'single') expect(layout.shards).toHaveLength(1);
      for (const known of replicas) {
        expect(homeZones).toContain(known.zone);
        expect(owners.get(known.replicaId) ?? name).toBe(name);
        owners.set(known.replicaId, name);
      }
    }
  }
  for (const scope of Object.keys(state.overrides)) {
    const [level, name = ''] = scope.split('/');
    if (level === 'zone') expect(zones).toContain(name);
    if (level === 'region') expect(Object.keys(state.regions)).toContain(name);
    if (level === 'service') expect(Object.keys(state.services)).toContain(name);
  }
}

function effectiveEverywhere(state: ConfigurationState) {
  return Object.keys(state.services).map((service) =>
    zonesOf(state).map((zone) => effectiveSettings(state, service, zone)),
  );
}

describe('applyOperations', () => {
  it('never leaves a tree that a router could not use, whatever is asked', () => {
    fc.assert(
      fc.property(anyHistory, (history) => {
        let state = START;
        for (const operations of history) {
          const next = tryApply(state, operations);
          if (next === undefined) continue;
          expect(next.revision).toBe(state.revision + 1);
          expectUsable(next);
          state = freeze(next);
        }
      }),
      { seed: 4, numRuns: 300 },
    );
  });

  it('leaves the state as it was when one of several operations does not fit', () => {
    fc.assert(
      fc.property(anyHistory, anyOperation, (history, operation) => {
        const state = history.reduce((known, next) => tryApply(known, next) ?? known, START);
        const before = JSON.stringify(state);
        tryApply(state, [operation, { type: 'removeService', service: 'not-there' }]);
        expect(JSON.stringify(state)).toBe(before);
      }),
      { seed: 4, numRuns: 100 },
    );
  });

  it('restores what the wider levels say when an override is removed', () => {
    const scopes = ['defaults', 'region/dohoku', 'zone/nayoro', 'service/kifu-audit'];
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.constantFrom(...scopes), fc.integer({ min: 1, max: 900 }))),
        fc.constantFrom(...scopes),
        (levels, chosen) => {
          let state = START;
          for (const [scope, value] of levels) {
            if (scope === chosen) continue;
            state = applyOperations(state, [setting(scope, 'defaultDeadlineMs', value)]);
          }
          const overridden = applyOperations(state, [setting(chosen, 'defaultDeadlineMs', 950)]);
          const removed = applyOperations(freeze(overridden), [
            { type: 'unset', scope: chosen, key: 'defaultDeadlineMs' },
          ]);
          expect(effectiveEverywhere(removed)).toEqual(effectiveEverywhere(state));
          expect(removed.overrides).toEqual(state.overrides);
        },
      ),
      { seed: 4, numRuns: 200 },
    );
  });

  it.each([
    [
      'a zone override that makes one service there invalid',
      [
        setting('service/kifu-audit', 'defaultDeadlineMs', 20_000),
        setting('zone/wakkanai', 'maximumDeadlineMs', 10_000),
      ],
      /kifu-audit in zone wakkanai.*defaultDeadlineMs is at most maximumDeadlineMs/,
    ],
    [
      'a region override that no service could live with',
      [setting('region/dohoku', 'defaultDeadlineMs', 60_000)],
      /zone nayoro/,
    ],
    [
      'the same of a region without services',
      [
        { type: 'createRegion', region: 'pnw', zones: ['pnw-a'] },
        setting('region/pnw', 'defaultDeadlineMs', 60_000),
      ],
      /zone pnw-a/,
    ],
    [
      'a replica name that another service has',
      [
        {
          type: 'createService',
          service: {
            name: 'receipt-desk',
            kind: 'single',
            region: 'dohoku',
            layouts: [{ layoutEpoch: 1, shards: [{ shardId: 's0', replicas: [replica(0)] }] }],
          },
        },
      ],
      /receipt-desk.*replica r0 belongs to kifu-audit/,
    ],
    ['a scope that does not exist', [setting('zone/pnw-a', 'queueLimit', 1)], /no such scope/],
    [
      'a replica outside the region',
      [{ type: 'addReplica', service: 'kifu-audit', shardId: 's0', replica: replica(9, 'pnw-a') }],
      /zone pnw-a of replica r9/,
    ],
    [
      'dropping the newest layout, whose epoch would be given out twice',
      [
        { type: 'repartition', service: 'kifu-audit', shards: [{ shardId: 's0', replicas: [] }] },
        { type: 'dropLayout', service: 'kifu-audit', layoutEpoch: 2 },
      ],
      /operations\.1\.layoutEpoch/,
    ],
  ] as [string, Operation[], RegExp][])('refuses %s', (_what, operations, message) => {
    expect(() => applyOperations(START, operations)).toThrow(message);
  });

  it('accepts in one change what would be invalid step by step', () => {
    const state = applyOperations(START, [
      setting('defaults', 'defaultDeadlineMs', 40_000),
      setting('defaults', 'maximumDeadlineMs', 50_000),
    ]);
    expect(effectiveSettings(state, 'kifu-audit', 'nayoro').defaultDeadlineMs).toBe(40_000);
  });

  it('removes the overrides of a service with it', () => {
    const state = applyOperations(START, [
      setting('service/kifu-audit', 'queueLimit', 3),
      { type: 'removeService', service: 'kifu-audit' },
    ]);
    expect(state.overrides).toEqual({});
    expect(state.services).toEqual({});
  });

  it('gives a repartition the next epoch and keeps the old layout until it is dropped', () => {
    const shards = [{ shardId: 's0', replicas: [replica(5)] }];
    const both = applyOperations(START, [{ type: 'repartition', service: 'kifu-audit', shards }]);
    const epochsOf = (state: ConfigurationState) =>
      state.services['kifu-audit']?.layouts.map((layout) => layout.layoutEpoch);
    expect(epochsOf(both)).toEqual([1, 2]);
    const dropped = applyOperations(both, [
      { type: 'dropLayout', service: 'kifu-audit', layoutEpoch: 1 },
    ]);
    expect(epochsOf(dropped)).toEqual([2]);
  });
});
