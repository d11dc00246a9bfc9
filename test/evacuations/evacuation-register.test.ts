import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EvacuatedZones } from '../../src/evacuations/evacuated-zones.js';
import {
  EvacuationOrderStatus,
  EvacuationRegister,
  NO_REVISION,
  decodeEvacuationOutcome,
  encodeEvacuationOrder,
  type ConditionalEvacuationOrder,
  type EvacuationOrder,
  type EvacuationOutcome,
} from '../../src/evacuations/evacuation-register.js';

function applyOrder(
  register: EvacuationRegister,
  order: EvacuationOrder | ConditionalEvacuationOrder,
): EvacuationOutcome {
  return decodeEvacuationOutcome(register.apply(encodeEvacuationOrder(order)));
}

const ORDERS = fc.array(
  fc.record({ zone: fc.constantFrom('a', 'b', 'c'), isEvacuated: fc.boolean() }),
  { maxLength: 20 },
);

describe('EvacuationRegister', () => {
  it('changes nothing when an order is repeated, and reports that', () => {
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

  it('accepts the end of an evacuation that was never started, without a change', () => {
    const register = new EvacuationRegister();
    const { status } = applyOrder(register, { zone: 'a', isEvacuated: false });
    expect(status).toBe(EvacuationOrderStatus.Unchanged);
  });

  it('keeps the last order of each zone, also after it was restored from a snapshot', () => {
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

  it('refuses a new zone when it is full, and still accepts orders for its zones', () => {
    const register = new EvacuationRegister();
    for (let index = 0; index < 1_000; index += 1) {
      applyOrder(register, { zone: `zone-${index}`, isEvacuated: true });
    }
    const { status } = applyOrder(register, { zone: 'one more', isEvacuated: true });
    expect(status).toBe(EvacuationOrderStatus.Refused);
    expect(applyOrder(register, { zone: 'zone-7', isEvacuated: false }).revision).toBe(1_001);
  });
});

describe('EvacuationRegister with conditional orders', () => {
  const start = { zone: 'a', isEvacuated: true };
  const end = { zone: 'a', isEvacuated: false };

  // Guards against a late copy of an order that undoes a newer one.
  it('does not carry out an order after another one for its zone', () => {
    const register = new EvacuationRegister();
    const late = { ...end, expectedRevision: applyOrder(register, start).revision };
    const newer = applyOrder(register, { ...start, expectedRevision: 1 });
    expect(newer).toEqual({ status: EvacuationOrderStatus.Unchanged, revision: 2 });
    const superseded = { status: EvacuationOrderStatus.Superseded, revision: 2 };
    expect(applyOrder(register, late)).toEqual(superseded);
    expect(register.evacuatedZones()).toEqual(['a']);
  });

  // Guards against a late start that follows an end which had nothing to end.
  it('counts an order that changes nothing, also for a zone without an entry', () => {
    const register = new EvacuationRegister();
    const late = { ...start, expectedRevision: register.revisionOf('a') };
    const { status } = applyOrder(register, { ...end, expectedRevision: NO_REVISION });
    expect(status).toBe(EvacuationOrderStatus.Unchanged);
    expect(applyOrder(register, late).status).toBe(EvacuationOrderStatus.Superseded);
    const restored = new EvacuationRegister();
    restored.restore(register.snapshot());
    expect(applyOrder(restored, late).status).toBe(EvacuationOrderStatus.Superseded);
  });

  it('is not hindered by orders for other zones', () => {
    const register = new EvacuationRegister();
    applyOrder(register, { zone: 'b', isEvacuated: true });
    const outcome = applyOrder(register, { ...start, expectedRevision: NO_REVISION });
    expect(outcome).toEqual({ status: EvacuationOrderStatus.Changed, revision: 2 });
  });

  it('adds no zone when it is full', () => {
    const register = new EvacuationRegister();
    for (let index = 0; index < 1_000; index += 1) {
      applyOrder(register, { zone: `zone-${index}`, isEvacuated: true });
    }
    const condition = { expectedRevision: NO_REVISION };
    const refused = { status: EvacuationOrderStatus.Refused, revision: NO_REVISION };
    const unchanged = { status: EvacuationOrderStatus.Unchanged, revision: NO_REVISION };
    expect(applyOrder(register, { ...start, ...condition })).toEqual(refused);
    expect(applyOrder(register, { ...end, ...condition })).toEqual(unchanged);
    expect([...register.all()]).toHaveLength(1_000);
  });
});

describe('EvacuatedZones', () => {
  it('reaches the same state whatever the order in which messages of controllers arrive', () => {
    fc.assert(
      fc.property(ORDERS, fc.infiniteStream(fc.nat()), (orders, draws) => {
        const register = new EvacuationRegister();
        const messages = orders.flatMap((order) => {
          applyOrder(register, order);
          return [...register.all()];
        });
        const known = new EvacuatedZones();
        const remaining = [...messages, ...register.all()];
        while (remaining.length > 0) {
          const index = Number(draws.next().value) % remaining.length;
          for (const message of remaining.splice(index, 1)) known.update(message);
        }
        expect([...known.zones].sort()).toEqual(register.evacuatedZones());
      }),
    );
  });
});
