import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { parseReportedLoad } from '../../src/gateway/reported-load.js';
import { GatewayHarness } from './gateway-harness.js';

describe('readReportedLoad', () => {
  it('reads three figures', () => {
    const load = parseReportedLoad('1,3,2', 7);
    expect(load).toEqual({ running: 1, waiting: 3, slots: 2, workFactor: 1, at: 7 });
  });

  it('reads how long work takes from a fourth figure, in percent', () => {
    expect(parseReportedLoad('2, 0, 2, 130', 7)?.workFactor).toBe(1.3);
    expect(parseReportedLoad('1,0,2,80,9', 7)?.workFactor).toBe(0.8);
  });

  it('reads any number of figures from three on, and no other text', () => {
    const figures = fc.array(fc.nat({ max: 999_999_999 }), { maxLength: 8 });
    fc.assert(
      fc.property(figures, (list) => {
        const load = parseReportedLoad(list.join(','), 0);
        expect(load === undefined).toBe(list.length < 3);
      }),
    );
    for (const text of ['', '1,2', '1,2,x', '1,2,-3', '1,2,3,', '1;2;3']) {
      expect(parseReportedLoad(text, 0)).toBeUndefined();
    }
  });
});

describe('a load report that cannot be read', () => {
  it('leaves a count and a line, and costs the request nothing', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger', 'the ledger');
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    replica.loadReport = 'busy';
    expect((await harness.call({ path: '/ledger/1' })).status).toBe(200);
    const lines = harness.lines.filter(({ message }) => message === 'load report not understood');
    expect(lines.map(({ fields }) => fields['report'])).toEqual(['busy']);
  });
});
