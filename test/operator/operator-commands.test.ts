import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { OperatorExitCode } from '../../src/operator/operator-error.js';
import { setting } from '../settings/fixtures.js';
import { OperatorFixture, type Run } from './operator-fixture.js';

let fixture: OperatorFixture;

beforeEach(async () => {
  fixture = await OperatorFixture.start();
});

afterEach(() => fixture.stop());

describe('operator commands', () => {
  it('set, explain and unset one key', async () => {
    await fixture.createDohoku();
    const explain = async (): Promise<string | undefined> => {
      const { stdout } = await fixture.run('settings', 'explain', 'kifu-audit', '--zone', 'nayoro');
      return stdout.split('\n').find((line) => line.startsWith('queueLimit'));
    };
    await fixture.run('settings', 'set', 'region/dohoku', 'queueLimit', '50', '-m', 'snow');
    await fixture.run('settings', 'set', 'zone/nayoro', 'queueLimit', '40');
    expect(await explain()).toMatch(
      /queueLimit +40 +zone\/nayoro +region\/dohoku=50, built-in=1000/,
    );
    await fixture.run('settings', 'unset', 'zone/nayoro', 'queueLimit');
    expect(await explain()).toMatch(/queueLimit +50 +region\/dohoku/);
    const { stdout } = await fixture.run('settings', 'history', '--limit', '3');
    expect(stdout).toMatch(/revision 4[^]*unset zone\/nayoro queueLimit[^]*sato[^]*snow/);
    const diff = await fixture.run('settings', 'diff', '--from', '1');
    expect(diff.stdout).toBe('overrides.region/dohoku.queueLimit\n  + 50\n');
  });

  it('apply all of a file or nothing, and at most once with a base revision', async () => {
    await fixture.createDohoku();
    const good = setting('defaults', 'queueLimit', 5);
    const bad = setting('zone/nayoro', 'maximumDeadlineMs', 10);
    const refused = await fixture.run(
      'settings',
      'apply',
      '-f',
      await fixture.writeOperations([good, bad]),
    );
    expect(refused.code).toBe(OperatorExitCode.BadInput);
    expect(refused.stderr).toMatch(/nayoro.*defaultDeadlineMs[^]*Nothing was changed/);
    const file = await fixture.writeOperations([good], { baseRevision: 1 });
    const dryRun = await fixture.run('settings', 'apply', '-f', file, '--dry-run');
    expect(dryRun.stdout).toMatch(/would be accepted as revision 2[^]*\+ 5/);
    expect((await fixture.run('settings', 'apply', '-f', file)).stdout).toContain(
      'accepted as revision 2',
    );
    const again = await fixture.run('settings', 'apply', '-f', file);
    expect(again.code).toBe(OperatorExitCode.Conflict);
    expect(again.stderr).toMatch(/There now, at revision 2:\n +overrides.defaults.queueLimit: 5/);
  });

  it('resend the same change to another controller when the answer is lost', async () => {
    await fixture.createDohoku();
    fixture.failNextAtFirst('answer_lost');
    const { code, stdout } = await fixture.run(
      'settings',
      'set',
      'defaults',
      'queueLimit',
      '5',
      '--json',
    );
    expect(code).toBe(OperatorExitCode.Success);
    expect(JSON.parse(stdout)).toMatchObject({ revision: 2, repeated: true });
    const id = (JSON.parse(stdout) as { changeId: string }).changeId;
    const shown = await fixture.run('changes', 'show', id);
    expect(shown.stdout).toMatch(
      /accepted[^]*in force at 0 of 1 daemons\n +late: router-1 in nayoro at 1, not heard for 20 s/,
    );
  });

  it('fail when the change is not in force in time, naming the late daemon', async () => {
    await fixture.createDohoku();
    const late = await fixture.run('settings', 'set', 'defaults', 'queueLimit', '5', '--wait', '0');
    expect(late.code).toBe(OperatorExitCode.Failure);
    expect(late.stdout).toMatch(/accepted as revision 2[^]*late: router-1 in nayoro at 1/);
  });

  it('never call a change undone that was accepted before something else failed', async () => {
    await fixture.createDohoku();
    const set = (...flags: string[]): Promise<Run> =>
      fixture.run('settings', 'set', 'defaults', 'queueLimit', '5', ...flags);
    const badFlag = await set('--wait', 'x');
    expect(badFlag.code).toBe(OperatorExitCode.BadInput);
    expect((await fixture.run('settings', 'diff', '--from', '1')).stdout).toBe('no difference\n');
    fixture.failNextAtFirst('quorum_lost_after');
    const cutOff = await set('--wait', '1', '--timeout', '1');
    expect(cutOff.code).toBe(OperatorExitCode.Failure);
    expect(cutOff.stdout).toContain('accepted as revision 2');
    expect(cutOff.stderr).toMatch(/is accepted, but where it is in force could not be learned/);
    expect(cutOff.stderr).not.toContain('Nothing was changed');
  });

  it('want the base revision of the change that is resent', async () => {
    await fixture.createDohoku();
    const change = ['settings', 'set', 'defaults', 'queueLimit', '5', '--change-id', 'change-001'];
    const refused = await fixture.run(...change);
    expect(refused.code).toBe(OperatorExitCode.BadInput);
    expect(refused.stderr).toMatch(/--change-id .* needs --base/);
    for (const repeated of [false, true]) {
      const { stdout } = await fixture.run(...change, '--base', '1', '--json');
      expect(JSON.parse(stdout)).toMatchObject({ revision: 2, repeated });
    }
  });

  it('say what a command line lacks on the error stream, with the exit code of bad input', async () => {
    const { code, stdout, stderr } = await fixture.run('settings', 'set', 'defaults');
    expect(code).toBe(OperatorExitCode.BadInput);
    expect(stderr).toContain('Not enough positional arguments');
    expect(stdout).toBe('');
  });

  it('tell which settings and which values there are', async () => {
    await fixture.createDohoku();
    const key = await fixture.run('settings', 'set', 'defaults', 'typo', '5');
    expect(key.code).toBe(OperatorExitCode.BadInput);
    expect(key.stderr).toContain('queueLimit');
    const value = await fixture.run('settings', 'set', 'defaults', 'hedging', 'often');
    expect(value.stderr).toContain('quantile');
    for (const text of ['many', '-1', '1.5', '']) {
      const bounds = await fixture.run('settings', 'set', 'defaults', '--', 'queueLimit', text);
      expect(bounds.code).toBe(OperatorExitCode.BadInput);
      expect(bounds.stderr).toContain('queueLimit takes a whole number, 0 to 100000');
    }
  });

  it('create services and change their replicas and layouts', async () => {
    await fixture.createDohoku();
    const file = await fixture.writeFile({ shards: [{ shardId: 't0', replicas: [] }] });
    const replica = ['--address', '127.0.0.1:9', '--zone', 'nayoro', '--slots', '5'];
    const service = ['services', 'add-replica', 'kifu-audit', 't0', 'r7', '--connections', '70'];
    await fixture.run('services', 'repartition', 'kifu-audit', '-f', file);
    expect((await fixture.run(...service, ...replica)).code).toBe(0);
    expect((await fixture.run('services', 'drop-layout', 'kifu-audit', '1')).code).toBe(0);
    expect((await fixture.run('services', 'show', 'kifu-audit')).stdout).toMatch(
      /2 +t0 +r7 +127.0.0.1:9/,
    );
    await fixture.run('services', 'remove-replica', 'kifu-audit', 'r7');
    const list = await fixture.run('services', 'list');
    expect(list.stdout).toMatch(/kifu-audit +sharded +dohoku +2 \(1 shards, 0 replicas\)/);
  });

  it('evacuate a zone, list it and end that', async () => {
    const start = await fixture.run('evacuations', 'start', 'nayoro');
    expect(start).toMatchObject({ code: 0, stdout: 'Evacuated: nayoro.\n' });
    const again = await fixture.run('evacuations', 'start', 'nayoro');
    expect(again.stdout).toBe('Evacuated: nayoro.\n');
    const list = await fixture.run('evacuations', 'list', '--json');
    expect(JSON.parse(list.stdout)).toEqual({ zones: ['nayoro'] });
    const end = await fixture.run('evacuations', 'end', 'nayoro');
    expect(end.stdout).toBe('No zone is evacuated.\n');
  });

  it('evacuate no zone that there is not', async () => {
    const { code, stderr } = await fixture.run('evacuations', 'start', 'elsewhere');
    expect(code).not.toBe(OperatorExitCode.Success);
    expect(stderr).toMatch(/there is no zone "elsewhere"[^]*Nothing was changed/);
  });

  it('send an order to evacuate again when the answer is lost', async () => {
    fixture.failNextAtFirst('answer_lost');
    const { code, stdout } = await fixture.run('evacuations', 'start', 'wakkanai');
    expect([code, stdout]).toEqual([0, 'Evacuated: wakkanai.\n']);
  });

  it('list requests that are refused because replicas end under them, and lift that', async () => {
    const none = await fixture.run('quarantine', 'list');
    expect(none.stdout).toBe('No request is suspected or refused.\n');
    await fixture.quarantine({
      fingerprint: '3d60',
      description: 'GET desk.example/q',
      ended: ['a', 'b', 'c'],
      endedInTrial: ['b', 'c'],
    });
    const list = await fixture.run('quarantine', 'list');
    expect(list.stdout).toMatch(/3d60 +quarantined +3 +2 +GET desk.example\/q +a b c/);
    const lifted = await fixture.run('quarantine', 'lift', '3d60');
    expect(lifted).toMatchObject({ code: 0, stdout: 'No request is suspected or refused.\n' });
    const again = await fixture.run('quarantine', 'lift', '3d60');
    expect(again.code).toBe(OperatorExitCode.Success);
  });

  it('lift no request that is not known', async () => {
    const { code, stderr } = await fixture.run('quarantine', 'lift', 'unknown');
    expect(code).not.toBe(OperatorExitCode.Success);
    expect(stderr).toMatch(/no request "unknown" is known[^]*Nothing was changed/);
  });
});
