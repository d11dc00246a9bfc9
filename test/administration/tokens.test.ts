import { beforeEach, describe, expect, it } from 'vitest';
import type { HistoryReport } from '../../src/administration/response-schemas.js';
import type { Operation } from '../../src/settings/change.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';
import { change, DOHOKU, setting } from '../settings/fixtures.js';
import { createControllers, type TestController } from './controllers.js';

let first: TestController;
let second: TestController;

beforeEach(async () => {
  [first, second] = createControllers(2) as [TestController, TestController];
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

  it('give a resent creation the first result when its scope has gone since', async () => {
    const body = {
      changeId: 'token-audit-1',
      tokenId: 'audit',
      team: 'audit',
      scopes: ['service/kifu-audit'],
      hash: hashToken('x'),
      author: 'sato',
      reason: 'test',
    };
    const created = await first.call<object>('POST', '/v1/tokens', { body });
    const remove: Operation = { type: 'removeService', service: 'kifu-audit' };
    expect((await first.change(change('change-001', 1, [remove]))).status).toBe(200);
    const again = await second.call('POST', '/v1/tokens', { body });
    expect(again.body).toEqual({ ...created.body, repeated: true });
    const other = { ...body, changeId: 'token-audit-2', tokenId: 'other' };
    const refused = await second.call('POST', '/v1/tokens', { body: other });
    expect(refused.status).toBe(400);
    expect(refused.body.error.message).toBe('body.scopes.0: there is no service/kifu-audit');
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
