import { expect, it } from 'vitest';
import { VersionHistory } from '../../src/routes/version-history.js';

it('tells since when a version has been lacked, also while newer ones follow', () => {
  const history = new VersionHistory();
  history.record(1, 0);
  expect(history.supersededAt(1)).toBeUndefined();
  for (let version = 2; version <= 20; version += 1) history.record(version, version * 1_000);
  expect(history.supersededAt(1)).toBe(2_000);
  expect(history.supersededAt(19)).toBe(20_000);
  expect(history.supersededAt(20)).toBeUndefined();
});

it('passes older versions over', () => {
  const history = new VersionHistory();
  history.record(5, 100);
  history.record(3, 200);
  history.record(5, 300);
  expect(history.supersededAt(2)).toBe(100);
  expect(history.supersededAt(5)).toBeUndefined();
});

it('counts from too early rather than from too late where versions are kept together', () => {
  const history = new VersionHistory();
  for (let version = 1; version <= 5_000; version += 1) history.record(version, version * 20);
  for (let version = 0; version < 5_000; version += 1) {
    const exact = (version + 1) * 20;
    expect(history.supersededAt(version)).toBeLessThanOrEqual(exact);
  }
  const recent = history.supersededAt(4_000) ?? Infinity;
  expect(recent).toBeGreaterThan(4_001 * 20 - 50);
});
