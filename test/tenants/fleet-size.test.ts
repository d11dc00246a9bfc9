import { expect, it } from 'vitest';
import { FleetSize } from '../../src/tenants/fleet-size.js';

it('is not known before a fleet that starts has been counted', () => {
  const size = new FleetSize(0);
  size.update(3, 1_000);
  expect(size.estimate(14_999)).toBe(Infinity);
  size.update(87, 14_000);
  expect(size.estimate(15_000)).toBe(87);
});

it('grows at once, and shrinks after the smaller number has held', () => {
  const size = new FleetSize(0);
  size.update(87, 20_000);
  size.update(4, 30_000);
  expect(size.estimate(30_000)).toBe(87);
  size.update(88, 31_000);
  expect(size.estimate(31_000)).toBe(88);
  size.update(undefined, 90_000);
  size.update(60, 90_000);
  expect(size.estimate(90_000)).toBe(88);
  size.update(60, 91_000);
  expect(size.estimate(91_000)).toBe(60);
});

it('is not known where no controller has told it', () => {
  expect(new FleetSize(0).estimate(1_000_000)).toBe(Infinity);
});
