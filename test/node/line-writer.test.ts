import { describe, expect, it } from 'vitest';
import { LineWriter, type WriteBytes } from '../../src/node/line-writer.js';

type WriteCallback = Parameters<WriteBytes>[1];

/** A reader that takes bytes only when the test says so. */
class SlowReader {
  received = '';
  private waiting: { bytes: Uint8Array; callback: WriteCallback } | undefined;

  readonly write: WriteBytes = (bytes, callback) => {
    this.waiting = { bytes, callback };
  };

  /** Takes up to `count` bytes of what is offered. */
  take(count = Infinity): void {
    const { waiting } = this;
    if (waiting === undefined) return;
    this.waiting = undefined;
    const taken = waiting.bytes.subarray(0, count);
    this.received += Buffer.from(taken).toString('utf8');
    waiting.callback(null, taken.length);
  }

  fail(code: string): void {
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.callback(Object.assign(new Error(code), { code }), 0);
  }
}

const describeDropped = (count: number): string => `dropped ${count}`;

describe('LineWriter', () => {
  it('keeps the order of lines, also when the system takes only a part', () => {
    const reader = new SlowReader();
    const writer = new LineWriter(reader.write, describeDropped);
    for (const line of ['one', 'two', 'three']) writer.write(line);
    for (let index = 0; index < 20; index += 1) reader.take(2);
    expect(reader.received).toBe('one\ntwo\nthree\n');
  });

  it('costs lines, not memory, while nobody reads, and says how many', () => {
    const reader = new SlowReader();
    const writer = new LineWriter(reader.write, describeDropped, 100);
    for (let index = 0; index < 10_000; index += 1) writer.write(`line ${index}`);
    reader.take();
    reader.take();
    writer.write('after');
    reader.take();
    const lines = reader.received.trimEnd().split('\n');
    expect(lines.length).toBeLessThan(20);
    const told = Number(/dropped (\d+)/.exec(reader.received)?.[1]);
    const kept = lines.filter((line) => line.startsWith('line ')).length;
    expect(told + kept).toBe(10_000);
    expect(lines.at(-1)).toBe('after');
  });

  it('goes on after a reader has gone', () => {
    const reader = new SlowReader();
    const writer = new LineWriter(reader.write, describeDropped);
    writer.write('lost');
    reader.fail('EPIPE');
    writer.write('next');
    reader.take();
    expect(reader.received).toBe('next\n');
  });

  it('drains what it has taken', async () => {
    const reader = new SlowReader();
    const writer = new LineWriter(reader.write, describeDropped);
    writer.write('last');
    const drained = writer.drain(60_000);
    reader.take();
    await drained;
    expect(reader.received).toBe('last\n');
  });
});
