import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EvacuatedZones } from '../../src/evacuations/evacuated-zones.js';
import {
  EvacuationOrderStatus,
  EvacuationRegister,
  decodeEvacuationOutcome,
  encodeEvacuationOrder,
  type EvacuationOrder,
  type EvacuationOutcome,
} from '../../src/evacuations/evacuation-register.js';

function applyOrder(register: EvacuationRegister, order: EvacuationOrder): EvacuationOutcome {
  return decodeEvacuationOutcome(register.apply(encodeEvacuationOrder(order)));
}

const ORDERS = fc.array(
  fc.record({ zone: fc.constantFrom('a', 'b', 'c'), isEvacuated: fc.boolean() }),
  { maxLength: 20 },
);

describe('EvacuationRegister', () => {
  it('takes the same order again without a change', () => {
    const register = new EvacuationRegister();
    const start = { zone: 'a', isEvacuated: true };
    expect(applyOrder(register, start)).toEqual({
      status: EvacuationOrderStatus.Changed,
      revision: 1,
    });
    expect(applyOrder(register, start)).toEqual({
      status: EvacuationOrderStatus.Unchanged,
      revision: 1,
    });
    expect(register.evacuatedZones()).toEqual(['a']);
  });

  it('takes an end without a start', () => {
    const register = new EvacuationRegister();
    const { status } = applyOrder(register, { zone: 'a', isEvacuated: false });
    expect(status).toBe(EvacuationOrderStatus.Unchanged);
  });

  it('holds the last order of each zone, also when it is restored from a snapshot', () => {
    fc.assert(
      fc.property(ORDERS, ORDERS, (before, after) => {
        const register = new EvacuationRegister();
        for (const order of before) applyOrder(register, order);
        const restored = new EvacuationRegister();
        applyOrder(restored, { zone: 'c', isEvacuated: true });
        restored.restore(register.snapshot());
        for (const order of after)
          expect(applyOrder(restored, order)).toEqual(applyOrder(register, order));
        expect([...restored.all()]).toEqual([...register.all()]);
        const last = new Map([...before, ...after].map((order) => [order.zone, order.isEvacuated]));
        const evacuated = [...last].filter(([, isEvacuated]) => isEvacuated).map(([zone]) => zone);
        expect(register.evacuatedZones()).toEqual(evacuated.sort());
      }),
    );
  });

  it('remembers a bounded number of zones', () => {
    const register = new EvacuationRegister();
    for (let index = 0; index < 1_000; index += 1) {
      applyOrder(register, { zone: `zone-${index}`, isEvacuated: true });
    }
    const { status } = applyOrder(register, { zone: 'one more', isEvacuated: true });
    expect(status).toBe(EvacuationOrderStatus.Refused);
    expect(applyOrder(register, { zone: 'zone-7', isEvacuated: false }).revision).toBe(1_001);
  });
});

describe('EvacuatedZones', () => {
  it('comes to the same whatever the order in which word of controllers comes', () => {
    fc.assert(
      fc.property(ORDERS, fc.infiniteStream(fc.nat()), (orders, draws) => {
        const register = new EvacuationRegister();
        const words = orders.flatMap((order) => {
          applyOrder(register, order);
          return [...register.all()];
        });
        const known = new EvacuatedZones();
        const left = [...words, ...register.all()];
        while (left.length > 0) {
          const index = Number(draws.next().value) % left.length;
          for (const word of left.splice(index, 1)) known.update(word);
        }
        expect([...known.zones].sort()).toEqual(register.evacuatedZones());
      }),
    );
  });
});
