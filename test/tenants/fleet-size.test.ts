import { expect, it } from 'vitest';
import { FleetSize } from '../../src/tenants/fleet-size.js';

it('is not known before a fleet that starts has been counted', () => {
  const size = new FleetSize(0);
  size.note(3, 1_000);
  expect(size.read(14_999)).toBe(Infinity);
  size.note(87, 14_000);
  expect(size.read(15_000)).toBe(87);
});

it('grows at once, and shrinks after the smaller number has held', () => {
  const size = new FleetSize(0);
  size.note(87, 20_000);
  size.note(4, 30_000);
  expect(size.read(30_000)).toBe(87);
  size.note(88, 31_000);
  expect(size.read(31_000)).toBe(88);
  size.note(undefined, 90_000);
  size.note(60, 90_000);
  expect(size.read(90_000)).toBe(88);
  size.note(60, 91_000);
  expect(size.read(91_000)).toBe(60);
});

it('is not known where no controller has told it', () => {
  expect(new FleetSize(0).read(1_000_000)).toBe(Infinity);
});
