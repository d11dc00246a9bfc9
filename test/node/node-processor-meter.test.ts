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
    meter.charge(ProcessorCause.Configuration, () => {
      work(20);
      meter.charge(ProcessorCause.Configuration, () => work(1));
    });
    work(4);
    expect(Object.fromEntries(meter.read())).toEqual({ start: 300, other: 9, configuration: 21 });
  });

  it('takes what it measured of frequent work for all of it', () => {
    const { meter, work } = createMeter();
    meter.endStart();
    for (let count = 0; count < 640; count += 1)
      meter.charge(ProcessorCause.Attempts, () => work(1));
    work(10);
    expect(meter.read().get(ProcessorCause.Attempts)).toBe(640);
    expect(meter.read().get(ProcessorCause.Other)).toBe(10);
  });

  it('reads the processor time for few of many calls', () => {
    let readings = 0;
    const meter = new NodeProcessorMeter(() => (readings += 1));
    for (let count = 0; count < 6_400; count += 1) {
      meter.charge(ProcessorCause.Attempts, () => undefined);
    }
    expect(readings).toBeLessThanOrEqual(200);
  });

  it('ends the charge of work that throws', () => {
    const { meter, work } = createMeter();
    meter.endStart();
    const fail = (): void => {
      work(3);
      throw new Error('refused');
    };
    expect(() => meter.charge(ProcessorCause.Configuration, fail)).toThrow('refused');
    work(2);
    expect(meter.read().get(ProcessorCause.Configuration)).toBe(3);
    expect(meter.read().get(ProcessorCause.Other)).toBe(2);
  });

  it('charges what is left of a start to the call in which it ends', () => {
    const { meter, work } = createMeter();
    meter.charge(ProcessorCause.Configuration, () => {
      work(1);
      meter.endStart();
      work(1);
    });
    work(2);
    expect(Object.fromEntries(meter.read())).toEqual({ start: 0, configuration: 2, other: 2 });
  });
});
