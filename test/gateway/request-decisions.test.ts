import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour } from '../../lab/exchange/exchange-replica.js';
import { GatewayHarness } from './gateway-harness.js';

describe('the decision log line of a request', () => {
  it('holds the reason why the request was not forwarded', async () => {
    const harness = await GatewayHarness.start();
    await harness.call({ path: '/ledger/1', id: 'early' });
    expect(harness.lineOf('early')).toMatchObject({
      message: 'request not forwarded',
      fields: { status: 503, refusal: 'no_routes', routeVersion: undefined, path: '/ledger/1' },
    });
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    await harness.call({ path: '/other/1', id: 'stray' });
    expect(harness.lineOf('stray')).toMatchObject({
      fields: { status: 404, refusal: 'no_route', routeVersion: 1, host: 'desk.example' },
    });
  });

  it('names the replica that held the request when its deadline passed', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    replica.workMs = 5_000;
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger', maximumAttempts: 1 }]);
    const answer = await harness.call({ path: '/ledger/1', id: 'slow', deadlineMs: 400 });
    expect(answer.status).toBe(504);
    expect(harness.lineOf('slow')).toMatchObject({
      message: 'request failed',
      fields: {
        reason: 'the time is up',
        sends: 1,
        attempts: [{ replicaId: 'ledger-1', slowness: 1, restored: false, result: 'in flight' }],
      },
    });
  });

  it('lists each attempt with its replica and result', async () => {
    const harness = await GatewayHarness.start();
    const refusing = await harness.addReplica('ledger');
    const slow = await harness.addReplica('ledger');
    refusing.behaviour = ReplicaBehaviour.Refuse;
    // Slower than the other replica, which is therefore tried first after this one's first answer.
    slow.workMs = 40;
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    for (let index = 0; index < 12; index += 1) {
      await harness.call({ path: '/ledger/1', id: `mine-${index}` });
    }
    const [line] = harness.lines.filter(
      ({ message }) => message === 'request answered after more than one sending',
    );
    expect(line?.fields).toMatchObject({
      sends: 2,
      attempts: [
        { replicaId: 'ledger-1', result: 'notRun: refused' },
        { replicaId: 'ledger-2', result: 'answered' },
      ],
    });
  });

  it('lists the attempts at shards that are missing from the response', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('shard-a');
    const broken = await harness.addReplica('shard-b');
    broken.behaviour = ReplicaBehaviour.Unsigned;
    const shards = ['shard-a', 'shard-b'];
    await harness.putRoutes([
      { pathPrefix: '/all/', shards, topRecords: 1, requiredCoverage: 0.5 },
    ]);
    await harness.call({ path: '/all/1', id: 'part' });
    expect(harness.lineOf('part')).toMatchObject({
      message: 'request answered in part',
      fields: {
        missing: 1,
        missingAttempts: [{ service: 'shard-b', result: 'broken: the answer is not signed' }],
      },
    });
  });

  it('tells how long the process of a fan-out has run, what it did before, and what it admits', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('shard-a');
    const shards = ['shard-a', 'shard-b'];
    await harness.putRoutes([
      { pathPrefix: '/all/', shards, topRecords: 1, requiredCoverage: 0.5 },
    ]);
    await harness.call({ path: '/all/1', id: 'first' });
    await harness.call({ path: '/all/1', id: 'second' });
    const [first, second] = ['first', 'second'].map((id) => harness.lineOf(id)?.fields);
    expect(first).toMatchObject({ endedBefore: 0, admittedPart: 1 });
    expect(second).toMatchObject({ endedBefore: 1, admittedPart: 1 });
    expect(Number(second?.['processAgeMs'])).toBeGreaterThan(Number(first?.['processAgeMs']));
  });
});
