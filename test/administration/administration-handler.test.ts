import { beforeEach, describe, expect, it } from 'vitest';
import type { ErrorBody } from '../../src/administration/administration-error.js';
import type {
  ChangeReport,
  ChangeResult,
  EffectiveReport,
  StatusReport,
} from '../../src/administration/response-schemas.js';
import type { Operation } from '../../src/settings/change.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import { change, DOHOKU, setting } from '../settings/fixtures.js';
import { createControllers, type TestController } from './controllers.js';

let first: TestController;
let second: TestController;

beforeEach(async () => {
  [first, second] = createControllers(2, {
    inForce: () => ({
      daemons: [
        { name: 'router-1', revision: 2 },
        { name: 'router-2', revision: 1 },
      ],
    }),
  }) as [TestController, TestController];
  await first.change(change('change-000', 0, DOHOKU));
});

async function revisionAt(controller: TestController): Promise<number> {
  const { body } = await controller.call<ConfigurationState>('GET', '/v1/configuration');
  return body.revision;
}

const queueLimit = (value: number): Operation[] => [setting('defaults', 'queueLimit', value)];

describe('changes', () => {
  it('tells the loser of a race what is there now', async () => {
    await first.change(change('operator-a', 1, queueLimit(5)));
    const lost = await second.change(change('operator-b', 1, queueLimit(6)));
    expect(lost.status).toBe(409);
    expect(lost.body.error).toMatchObject({ code: 'conflict', changed: 'no' });
    expect(lost.body.error.conflict).toEqual({
      baseRevision: 1,
      currentRevision: 2,
      current: [{ path: 'overrides.defaults.queueLimit', value: 5 }],
      changesSinceBase: [{ revision: 2, changeId: 'operator-a', author: 'sato', reason: 'test' }],
    });
  });

  it('gives a resend after a lost answer the first result, at another controller too', async () => {
    const request = change('change-001', 1, queueLimit(5));
    first.log.nextFault = 'answer_lost';
    const lost = await first.change(request);
    expect(lost.status).toBe(503);
    expect(lost.body.error).toMatchObject({ code: 'outcome_unknown', changed: 'unknown' });
    expect(lost.body.error.message).toContain('resend the same change');
    await second.change(change('change-002', 2, queueLimit(6)));
    const again = await second.change<ChangeResult>(request);
    expect(again.body).toMatchObject({ revision: 2, acceptedAt: 1_000, repeated: true });
    expect(await revisionAt(second)).toBe(3);
  });

  it('runs a change whose proposal never reached the history when it is resent', async () => {
    const request = change('change-001', 1, queueLimit(5));
    first.log.nextFault = 'lost_before_commit';
    expect((await first.change(request)).body.error.changed).toBe('unknown');
    expect((await second.change<ChangeResult>(request)).body).toMatchObject({
      revision: 2,
      repeated: false,
    });
  });

  it('says that nothing was changed, and when to come back, when nothing was proposed', async () => {
    first.log.nextFault = 'not_proposed';
    const refused = await first.change(change('change-001', 1, queueLimit(5)));
    expect(refused.status).toBe(503);
    expect(refused.body.error).toMatchObject({ code: 'unavailable', changed: 'no' });
    expect(refused.headers['retry-after']).toBe('1');
    expect(await revisionAt(first)).toBe(1);
  });

  it('checks all in a dry run and changes nothing', async () => {
    const dryRun = (operations: Operation[], base = 1) =>
      first.call<ChangeResult & ErrorBody>('POST', '/v1/changes?dryRun=true', {
        body: change('change-001', base, operations),
      });
    expect((await dryRun(queueLimit(5))).body).toMatchObject({
      dryRun: true,
      revision: 2,
      differences: [{ path: 'overrides.defaults.queueLimit', before: null, after: 5 }],
    });
    expect((await dryRun(queueLimit(5), 0)).body.error.code).toBe('conflict');
    const bad = await dryRun([setting('service/kifu-audit', 'maximumDeadlineMs', 10)]);
    expect(bad.status).toBe(422);
    expect(bad.body.error.message).toMatch(/kifu-audit in zone/);
    expect(await revisionAt(first)).toBe(1);
  });

  it('tells at how many daemons a change is in force and names the late ones', async () => {
    await first.change(change('change-001', 1, queueLimit(5)));
    const { body } = await second.call<ChangeReport>('GET', '/v1/changes/change-001');
    expect(body).toMatchObject({
      outcome: 'accepted',
      change: { author: 'sato', reason: 'test', acceptedAt: 1_000 },
      force: { revision: 2, daemons: 2, inForce: 1, late: [{ name: 'router-2', revision: 1 }] },
    });
  });

  it.each<[string, unknown, number, RegExp]>([
    ['an unknown key', { ...change('change-001', 1, queueLimit(5)), extra: 1 }, 400, /extra/],
    ['an unknown setting', change('change-001', 1, [setting('defaults', 'typo', 1)]), 400, /key/],
    ['a value out of bounds', change('change-001', 1, queueLimit(-1)), 422, /operations\.0\.value/],
    ['no base revision', { ...change('change-001', 1, []), baseRevision: undefined }, 400, /base/],
    ['no operations', change('change-001', 1, []), 400, /operations/],
    [
      'a change id used for something else',
      change('change-000', 1, queueLimit(5)),
      409,
      /change id/,
    ],
  ])('refuses %s and changes nothing', async (_what, body, status, message) => {
    const reply = await first.call('POST', '/v1/changes', { body });
    expect(reply.status).toBe(status);
    expect(reply.body.error.message).toMatch(message);
    expect(reply.body.error.changed).toBe('no');
    expect(await revisionAt(first)).toBe(1);
  });

  it('refuses a body that is no JSON, or too large', async () => {
    const call = (rawBody: string) => first.call('POST', '/v1/changes', { rawBody });
    expect((await call('{')).body.error.code).toBe('bad_request');
    expect((await call(`"${'x'.repeat(1_048_576)}"`)).body.error.code).toBe('too_large');
  });
});

describe('reads', () => {
  it('see what was accepted at another controller a moment ago', async () => {
    await first.change(change('change-001', 1, queueLimit(5)));
    expect(await revisionAt(second)).toBe(2);
  });

  // Guards against a refusal that leaves open whether the order was carried out.
  it.each([
    ['/v1/evacuations', { zone: 'nayoro', evacuated: true }],
    ['/v1/quarantine/lift', { fingerprint: 'f' }],
  ])('are told that nothing was changed without a quorum: POST %s', async (path, body) => {
    first.log.hasQuorum = false;
    const reply = await first.call('POST', path, { body });
    expect(reply.status).toBe(503);
    expect(reply.body.error).toMatchObject({ code: 'unavailable', changed: 'no' });
  });

  it('are refused without a quorum, the status excepted', async () => {
    first.log.hasQuorum = false;
    const refused = await first.call('GET', '/v1/configuration');
    expect(refused.status).toBe(503);
    const status = await first.call<StatusReport>('GET', '/v1/status');
    expect(status.body).toMatchObject({ leaderId: null, sinceQuorumMs: null });
  });

  it('explain each value by the level it came from', async () => {
    await first.change(
      change('change-001', 1, [
        setting('region/dohoku', 'queueLimit', 5),
        setting('zone/nayoro', 'queueLimit', 6),
      ]),
    );
    const target = '/v1/services/kifu-audit/effective?zone=nayoro';
    const { body } = await first.call<EffectiveReport>('GET', target);
    expect(body.settings.find(({ key }) => key === 'queueLimit')).toEqual({
      key: 'queueLimit',
      value: 6,
      level: 'zone/nayoro',
      hidden: [
        { level: 'region/dohoku', value: 5 },
        { level: 'built-in', value: 1_000 },
      ],
    });
    expect(body.settings.find(({ key }) => key === 'hedging')?.level).toBe('built-in');
  });

  it('give an earlier configuration while it is kept', async () => {
    await first.change(change('change-001', 1, queueLimit(5)));
    const at = (revision: number) =>
      first.call<ConfigurationState>('GET', `/v1/configuration?revision=${revision}`);
    expect((await at(1)).body.overrides).toEqual({});
    expect((await at(2)).body.overrides).toEqual({ defaults: { queueLimit: 5 } });
    expect((await at(3)).status).toBe(404);
  });
});
