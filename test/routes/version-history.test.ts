import { expect, it } from 'vitest';
import { VersionHistory } from '../../src/routes/version-history.js';

it('tells since when a version has been lacked, also while newer ones follow', () => {
  const history = new VersionHistory();
  history.note(1, 0);
  expect(history.newerSince(1)).toBeUndefined();
  for (let version = 2; version <= 20; version += 1) history.note(version, version * 1_000);
  expect(history.newerSince(1)).toBe(2_000);
  expect(history.newerSince(19)).toBe(20_000);
  expect(history.newerSince(20)).toBeUndefined();
});

it('passes older versions over', () => {
  const history = new VersionHistory();
  history.note(5, 100);
  history.note(3, 200);
  history.note(5, 300);
  expect(history.newerSince(2)).toBe(100);
  expect(history.newerSince(5)).toBeUndefined();
});

it('counts from too early rather than from too late where versions are kept together', () => {
  const history = new VersionHistory();
  for (let version = 1; version <= 5_000; version += 1) history.note(version, version * 20);
  for (let version = 0; version < 5_000; version += 1) {
    const exact = (version + 1) * 20;
    expect(history.newerSince(version)).toBeLessThanOrEqual(exact);
  }
  const recent = history.newerSince(4_000) ?? Infinity;
  expect(recent).toBeGreaterThan(4_001 * 20 - 50);
});
