import { describe, expect, it } from 'vitest';
import { LeafChangeLog } from '../../src/aggregation/leaf-change-log.js';
import { collectLines, type LogLine } from '../gateway/gateway-harness.js';

function leaf(name: string) {
  return { name, zone: 'nayoro', address: `${name}:8002` };
}

describe('LeafChangeLog', () => {
  it('logs how many leaves joined and left, and nothing for an equal list', () => {
    const lines: LogLine[] = [];
    const counts: number[] = [];
    const log = new LeafChangeLog(collectLines(lines), (count) => counts.push(count));
    log.update([leaf('a'), leaf('b'), leaf('c')]);
    log.update([leaf('c'), leaf('b'), leaf('a')]);
    log.update([leaf('d')]);
    expect(lines.map(({ fields }) => fields)).toEqual([
      { leaves: 3, joined: 3, left: 0 },
      { leaves: 1, joined: 1, left: 3 },
    ]);
    expect(counts).toEqual([3, 3, 1]);
  });
});
