import { beforeEach, describe, expect, it } from 'vitest';
import type { ErrorBody } from '../../src/administration/administration-error.js';
import type {
  ChangeReport,
  ChangeResult,
  EffectiveReport,
  HistoryReport,
  StatusReport,
} from '../../src/administration/response-schemas.js';
import type { Operation } from '../../src/settings/change.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';
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

async function createToken(tokenId: string, scopes: string[]): Promise<string> {
  const text = createTokenText(tokenId);
  const { status } = await first.call('POST', '/v1/tokens', {
    body: {
      changeId: `token-${tokenId}-1`,
      tokenId,
      team: tokenId,
      scopes,
      hash: hashToken(text),
      author: 'sato',
      reason: 'test',
    },
  });
  expect(status).toBe(200);
  return text;
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

describe('tokens', () => {
  it('turn away a missing or wrong token', async () => {
    await createToken('audit', ['defaults']);
    const wrong = [
      createTokenText('audit'),
      undefined,
      'x',
      createTokenText('ghost'),
      `${createTokenText('ghost')}x`,
    ];
    for (const token of wrong) {
      const body = change('change-001', 1, queueLimit(5));
      const reply = await first.call('POST', '/v1/changes', { body, token });
      expect(reply.status).toBe(401);
      expect(reply.body.error.changed).toBe('no');
    }
    expect(await revisionAt(first)).toBe(1);
  });

  it('limit a team to its subtrees, at a controller that has not heard of the token too', async () => {
    const token = await createToken('audit', ['service/kifu-audit']);
    const own = [setting('service/kifu-audit', 'queueLimit', 5)];
    const refused = await second.change(change('change-001', 1, [...own, ...queueLimit(5)]), token);
    expect(refused.status).toBe(403);
    expect(refused.body.error.problems).toEqual([
      { path: 'operations.1', reason: 'the token of team audit does not cover defaults' },
    ]);
    const body = change('change-003', 1, queueLimit(5));
    const dryRun = await second.call('POST', '/v1/changes?dryRun=true', { body, token });
    expect(dryRun.status).toBe(403);
    expect((await second.change(change('change-002', 1, own), token)).status).toBe(200);
    const history = await first.call<HistoryReport>('GET', '/v1/history?limit=1', { token });
    expect(history.body.changes[0]).toMatchObject({ revision: 2, team: 'audit', author: 'sato' });
  });

  it('give a team no way to more rights', async () => {
    const token = await createToken('audit', ['region/dohoku']);
    const body = {
      changeId: 'token-evil-1',
      tokenId: 'evil',
      team: 'evil',
      scopes: ['defaults'],
      hash: hashToken('x'),
      author: 'sato',
      reason: 'test',
    };
    expect((await first.call('POST', '/v1/tokens', { token, body })).status).toBe(403);
    const whole = await createToken('platform', ['defaults']);
    expect((await first.call('POST', '/v1/tokens', { token: whole, body })).status).toBe(200);
    expect((await first.call('GET', '/v1/tokens', { token })).status).toBe(403);
    const member = { action: 'remove', memberId: 'controller-2' };
    expect((await first.call('POST', '/v1/members', { token, body: member })).status).toBe(403);
  });

  it('are refused once revoked, also at a controller that has not heard of it', async () => {
    const token = await createToken('audit', ['defaults']);
    await second.call('GET', '/v1/configuration', { token });
    const revoke = { changeId: 'revoke-001', tokenId: 'audit', author: 'sato', reason: 'test' };
    expect((await first.call('POST', '/v1/tokens/revoke', { body: revoke })).status).toBe(200);
    expect((await second.change(change('change-001', 1, queueLimit(5)), token)).status).toBe(403);
    expect((await first.change(change('change-001', 1, queueLimit(5)), token)).status).toBe(401);
    expect(await revisionAt(first)).toBe(1);
  });

  it('are nowhere kept or shown as text or hash', async () => {
    const token = await createToken('audit', ['defaults']);
    const snapshot = new TextDecoder().decode(first.log.machine.snapshot());
    expect(snapshot).not.toContain(token);
    const { body } = await first.call<unknown>('GET', '/v1/tokens');
    expect(JSON.stringify(body)).toContain('audit');
    expect(JSON.stringify(body)).not.toContain(hashToken(token));
  });
});
