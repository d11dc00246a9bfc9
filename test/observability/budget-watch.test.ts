import { describe, expect, it } from 'vitest';
import { BudgetWatch } from '../../src/observability/budget-watch.js';
import type { Logger } from '../../src/observability/logger.js';

const MANY_CHECKS = 100;

describe('the watch of a memory budget', () => {
  // Guards against a line for each response that is given up.
  it('writes one line when it begins to be spent and one when it suffices again', () => {
    const lines: unknown[] = [];
    const write = (message: string, fields: unknown): void => void lines.push([message, fields]);
    const logger = { info: write, warn: write } as unknown as Logger;
    let given = 0;
    const watch = new BudgetWatch({ kind: 'responses', countGivenUp: () => given, logger });
    for (let check = 0; check < MANY_CHECKS; check += 1) watch.check();
    expect(lines).toEqual([]);
    for (let check = 0; check < MANY_CHECKS; check += 1) {
      given += 3;
      watch.check();
    }
    expect(lines).toEqual([['memory budget spent', { kind: 'responses', givenUp: 3 }]]);
    for (let check = 0; check < MANY_CHECKS; check += 1) watch.check();
    const total = { kind: 'responses', givenUp: 3 * MANY_CHECKS };
    expect(lines.slice(1)).toEqual([['memory budget suffices again', total]]);
  });
});
