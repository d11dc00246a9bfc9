import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { NodeClock } from '../../src/node/node-clock.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorExitCode } from '../../src/operator/operator-error.js';
import { formatAddress } from '../../src/seams/address.js';
import { BOOTSTRAP_TOKEN } from '../administration/controllers.js';
import { change, DOHOKU } from '../settings/fixtures.js';
import { OperatorFixture, type Run } from './operator-fixture.js';

let fixture: OperatorFixture;

beforeEach(async () => {
  fixture = await OperatorFixture.start();
});

afterEach(() => fixture.stop());

describe('operator commands', () => {
  it.each([1.5, 3])('say that a change of %f MB is too large, and do not insist', async (size) => {
    const client = new OperatorClient(new NodeNetwork(), new NodeClock(), {
      controllers: fixture.addresses,
      token: BOOTSTRAP_TOKEN,
      attemptTimeoutMs: 5_000,
      totalTimeoutMs: 5_000,
    });
    const body = { ...change('change-001', 0, DOHOKU), reason: 'x'.repeat(size * 1_048_576) };
    const error: unknown = await client.post('/v1/changes', body).catch((cause: unknown) => cause);
    client.close();
    expect(error).toMatchObject({
      error: { code: 'too_large', changed: 'no' },
      exitCode: OperatorExitCode.BadInput,
    });
  });

  it('create tokens that reach only their scopes, and revoke them', async () => {
    await fixture.createDohoku();
    const create = ['tokens', 'create', 'audit', '--team', 'audit', '--scope', 'zone/nayoro'];
    const token = (await fixture.run(...create)).stdout.split('\n')[0];
    const set = (scope: string, value: string): Promise<Run> =>
      fixture.runAs(token, 'settings', 'set', scope, 'queueLimit', value);
    expect((await set('defaults', '5')).code).toBe(OperatorExitCode.Refused);
    expect((await set('zone/nayoro', '5')).code).toBe(OperatorExitCode.Success);
    expect((await fixture.run('tokens', 'revoke', 'audit')).code).toBe(OperatorExitCode.Success);
    expect((await set('zone/nayoro', '6')).code).toBe(OperatorExitCode.Refused);
    expect((await fixture.run('tokens', 'list')).stdout).toMatch(/revoked +audit +sato/);
  });

  it('say what to do when the answer to a new token was lost, and repeat a revocation', async () => {
    await fixture.createDohoku();
    const create = ['tokens', 'create', 'audit', '--team', 'audit', '--scope'];
    const typo = await fixture.run(...create, 'service/kifu-audt');
    expect(typo.code).toBe(OperatorExitCode.BadInput);
    expect(typo.stderr).toContain('there is no service/kifu-audt');
    fixture.failNext('answer_lost');
    const lost = await fixture.run(...create, 'service/kifu-audit', '--timeout', '1');
    expect(lost.code).toBe(OperatorExitCode.OutcomeUnknown);
    expect(lost.stderr).toContain('driftway tokens revoke audit');
    const revoke = await fixture.run('tokens', 'revoke', 'audit');
    const id = /--change-id (\S+)/.exec(revoke.stderr)?.[1] ?? '';
    expect((await fixture.run('tokens', 'revoke', 'audit', '--change-id', id)).code).toBe(0);
    expect((await fixture.run('tokens', 'revoke', 'audit')).code).toBe(OperatorExitCode.BadInput);
  });

  it('add, promote and remove controllers', async () => {
    await fixture.run('members', 'add', 'controller-3', '127.0.0.1:3');
    await fixture.run('members', 'promote', 'controller-3');
    const { code, stdout } = await fixture.run('members', 'remove', 'controller-1');
    expect([code, stdout]).toEqual([0, expect.stringMatching(/controller-1 +voter/)]);
    expect(fixture.members.calls).toEqual([
      'add controller-3 127.0.0.1:3',
      'promote controller-3',
      'remove controller-1',
    ]);
    const refused = await fixture.run('members', 'remove', 'nobody');
    expect(refused.code).toBe(OperatorExitCode.BadInput);
    expect(refused.stderr).toMatch(/^error: "nobody" is no member[^]*Nothing was changed/);
  });

  it('show the cluster, also without a quorum', async () => {
    await fixture.createDohoku();
    fixture.loseQuorum();
    const { code, stdout } = await fixture.run('status');
    expect(code).toBe(OperatorExitCode.Success);
    expect(stdout).toMatch(
      /Leader: none known[^]*controller-2 +voter[^]*router-1 +nayoro +0.1.0 +1 +20 s ago \(silent\)/,
    );
    expect(stdout).toContain('No quorum: nothing can be changed now.');
    const nobody = ['--controller', '127.0.0.1:1', '--timeout', '1'];
    const reversed = [...fixture.addresses].reverse().map(formatAddress);
    const listeners = reversed.flatMap((each) => ['--controller', each]);
    const partial = await fixture.run('status', ...listeners, ...nobody);
    expect(partial.code).toBe(OperatorExitCode.Success);
    expect(partial.stdout).toMatch(
      /Answered by controller-1 \(leader[^]*No answer from 127.0.0.1:1/,
    );
    expect((await fixture.run('status', ...nobody)).code).toBe(OperatorExitCode.Unavailable);
    const read = await fixture.run('settings', 'history', '--timeout', '0');
    expect(read.code).toBe(OperatorExitCode.Unavailable);
  });

  it('say what is missing when no controller or token is named', async () => {
    const noToken = await fixture.runAs(undefined, 'status');
    expect(noToken.code).toBe(OperatorExitCode.Refused);
    expect(noToken.stderr).toContain('DRIFTWAY_TOKEN');
    const nobody = await fixture.run('status', '--controller', '');
    expect(nobody.code).toBe(OperatorExitCode.BadInput);
    expect(nobody.stderr).toContain('DRIFTWAY_CONTROLLERS');
  });
});
