import { describe, expect, it } from 'vitest';
import { NodeProcessorMeter } from '../../src/node/node-processor-meter.js';
import { ProcessorCause } from '../../src/seams/processor-meter.js';

/** A meter over a processor that works as the test says. */
function createMeter() {
  let used = 0;
  const meter = new NodeProcessorMeter(() => used);
  const work = (milliseconds: number): void => void (used += milliseconds);
  return { meter, work };
}

describe('processor meter', () => {
  it('charges each moment to one cause', () => {
    const { meter, work } = createMeter();
    work(300);
    meter.endStart();
    work(5);
    meter.charge(ProcessorCause.Controllers, () => {
      work(2);
      meter.charge(ProcessorCause.Configuration, () => work(20));
      work(1);
    });
    work(4);
    expect(Object.fromEntries(meter.read())).toEqual({
      start: 300,
      other: 9,
      controllers: 3,
      configuration: 20,
    });
  });

  it('ends the charge of work that throws', () => {
    const { meter, work } = createMeter();
    meter.endStart();
    const fail = (): void => {
      work(3);
      throw new Error('refused');
    };
    expect(() => meter.charge(ProcessorCause.Attempts, fail)).toThrow('refused');
    work(2);
    expect(meter.read().get(ProcessorCause.Attempts)).toBe(3);
    expect(meter.read().get(ProcessorCause.Other)).toBe(2);
  });

  it('charges what is left of a start to the call in which it ends', () => {
    const { meter, work } = createMeter();
    meter.charge(ProcessorCause.Controllers, () => {
      work(1);
      meter.endStart();
      work(1);
    });
    work(2);
    expect(Object.fromEntries(meter.read())).toEqual({ start: 0, controllers: 2, other: 2 });
  });
});
