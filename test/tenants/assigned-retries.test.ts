/** Tests which retry times a gateway keeps for the next quota owner. */
import { expect, it } from 'vitest';
import { AssignedRetries } from '../../src/tenants/assigned-retries.js';

function addRetry(retries: AssignedRetries, dueAt: number): void {
  retries.add({ caller: `caller-${dueAt}`, dueAt, reservedFrom: dueAt });
}

it('keeps future retries in the order of their times, and a bounded number of them', () => {
  const retries = new AssignedRetries();
  for (const dueAt of [300, 100, 200]) addRetry(retries, dueAt);
  expect(retries.dueFrom(150).map(({ dueAt }) => dueAt)).toEqual([200, 300]);
  for (let dueAt = 1_000; dueAt < 3_000; dueAt += 1) addRetry(retries, dueAt);
  expect(retries.dueFrom(0).length).toBeLessThanOrEqual(500);
});

// Guards against retry times that are lost to a new owner because past ones take their place.
it('has room again once earlier retries are past', () => {
  const retries = new AssignedRetries();
  for (let dueAt = 0; dueAt < 1_000; dueAt += 1) addRetry(retries, dueAt);
  retries.discardBefore(1_000);
  addRetry(retries, 2_000);
  expect(retries.dueFrom(1_000).map(({ dueAt }) => dueAt)).toEqual([2_000]);
});

it('gives each due retry once, and none that is long past', () => {
  const retries = new AssignedRetries();
  for (const dueAt of [100, 500, 510]) addRetry(retries, dueAt);
  expect(retries.takeDue(520, 50)).toBe('caller-500');
  expect(retries.takeDue(520, 50)).toBe('caller-510');
  expect(retries.takeDue(520, 50)).toBeUndefined();
});
