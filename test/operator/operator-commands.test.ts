import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { Registry } from 'prom-client';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createAdministrationHandler } from '../../src/administration/administration-handler.js';
import { runDriftway } from '../../src/commands/driftway.js';
import { CONTROLLER_HTTP_OPTIONS } from '../../src/control/controller-http.js';
import { NodeClock } from '../../src/node/node-clock.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorExitCode } from '../../src/operator/operator-error.js';
import { formatAddress } from '../../src/seams/address.js';
import type { HttpListener } from '../../src/seams/http.js';
import type { Operation } from '../../src/settings/change.js';
import { hashToken } from '../../src/settings/token-text.js';
import { BOOTSTRAP_TOKEN } from '../administration/controllers.js';
import { MemoryHistory, type MemoryLog } from '../administration/memory-log.js';
import { change, DOHOKU, setting } from '../settings/fixtures.js';

let folder: string;
let logs: MemoryLog[];
let listeners: HttpListener[];

async function listen(log: MemoryLog): Promise<HttpListener> {
  const handler = createAdministrationHandler({
    log,
    machine: log.machine,
    clock: new NodeClock(),
    logger: SILENT_LOGGER,
    registry: new Registry(),
    bootstrapTokenHash: hashToken(BOOTSTRAP_TOKEN),
    forces: {
      inForce: () => ({
        daemons: [
          { name: 'router-1', revision: 1, zone: 'nayoro', version: '0.1.0', silentMs: 20_000 },
        ],
      }),
    },
  });
  return new NodeNetwork().listenHttp(
    { host: '127.0.0.1', port: 0 },
    CONTROLLER_HTTP_OPTIONS,
    handler,
  );
}

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'driftway-operator-'));
  const history = new MemoryHistory();
  logs = ['controller-1', 'controller-2'].map((memberId) => history.addMember(memberId));
  listeners = await Promise.all(logs.map(listen));
});

afterEach(async () => {
  await Promise.all(listeners.map((listener) => listener.close()));
  await rm(folder, { recursive: true });
});

interface Run {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

async function runAs(token: string | undefined, ...commandLine: string[]): Promise<Run> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const controllers = listeners.map(({ address }) => formatAddress(address)).join(',');
  const env = { DRIFTWAY_CONTROLLERS: controllers, DRIFTWAY_TOKEN: token, DRIFTWAY_AUTHOR: 'sato' };
  const code = await runDriftway(commandLine, { stdout, stderr, env });
  const read = (stream: PassThrough): string => String(stream.read() ?? '');
  return { code, stdout: read(stdout), stderr: read(stderr) };
}

function run(...commandLine: string[]): Promise<Run> {
  return runAs(BOOTSTRAP_TOKEN, ...commandLine);
}

async function writeOperations(operations: readonly Operation[], extra = {}): Promise<string> {
  const file = join(folder, 'change.yaml');
  await writeFile(file, JSON.stringify({ ...extra, operations }));
  return file;
}

async function createDohoku(): Promise<void> {
  const { code, stderr } = await run('settings', 'apply', '-f', await writeOperations(DOHOKU));
  expect(stderr).toContain('--change-id');
  expect(code).toBe(OperatorExitCode.Success);
}

describe('operator commands', () => {
  it('set, explain and unset one key', async () => {
    await createDohoku();
    const explain = async (): Promise<string | undefined> => {
      const { stdout } = await run('settings', 'explain', 'kifu-audit', '--zone', 'nayoro');
      return stdout.split('\n').find((line) => line.startsWith('queueLimit'));
    };
    await run('settings', 'set', 'region/dohoku', 'queueLimit', '50', '-m', 'snow');
    await run('settings', 'set', 'zone/nayoro', 'queueLimit', '40');
    expect(await explain()).toMatch(
      /queueLimit +40 +zone\/nayoro +region\/dohoku=50, built-in=1000/,
    );
    await run('settings', 'unset', 'zone/nayoro', 'queueLimit');
    expect(await explain()).toMatch(/queueLimit +50 +region\/dohoku/);
    const { stdout } = await run('settings', 'history', '--limit', '3');
    expect(stdout).toMatch(/revision 4[^]*unset zone\/nayoro queueLimit[^]*sato[^]*snow/);
    const diff = await run('settings', 'diff', '--from', '1');
    expect(diff.stdout).toBe('overrides.region/dohoku.queueLimit\n  + 50\n');
  });

  it('apply all of a file or nothing, and at most once with a base revision', async () => {
    await createDohoku();
    const good = setting('defaults', 'queueLimit', 5);
    const bad = setting('zone/nayoro', 'maximumDeadlineMs', 10);
    const refused = await run('settings', 'apply', '-f', await writeOperations([good, bad]));
    expect(refused.code).toBe(OperatorExitCode.BadInput);
    expect(refused.stderr).toMatch(/nayoro.*defaultDeadlineMs[^]*Nothing was changed/);
    const file = await writeOperations([good], { baseRevision: 1 });
    const dryRun = await run('settings', 'apply', '-f', file, '--dry-run');
    expect(dryRun.stdout).toMatch(/would be accepted as revision 2[^]*\+ 5/);
    expect((await run('settings', 'apply', '-f', file)).stdout).toContain('accepted as revision 2');
    const again = await run('settings', 'apply', '-f', file);
    expect(again.code).toBe(OperatorExitCode.Conflict);
    expect(again.stderr).toMatch(/There now, at revision 2:\n +overrides.defaults.queueLimit: 5/);
  });

  it('resend the same change to another controller when the answer is lost', async () => {
    await createDohoku();
    const [log] = logs;
    if (log !== undefined) log.nextFault = 'answer_lost';
    const { code, stdout } = await run('settings', 'set', 'defaults', 'queueLimit', '5', '--json');
    expect(code).toBe(OperatorExitCode.Success);
    expect(JSON.parse(stdout)).toMatchObject({ revision: 2, repeated: true });
    const id = (JSON.parse(stdout) as { changeId: string }).changeId;
    const shown = await run('changes', 'show', id);
    expect(shown.stdout).toMatch(
      /accepted[^]*in force at 0 of 1 daemons\n +late: router-1 in nayoro at 1, not heard for 20 s/,
    );
  });

  it('fail when the change is not in force in time, naming the late daemon', async () => {
    await createDohoku();
    const late = await run('settings', 'set', 'defaults', 'queueLimit', '5', '--wait', '0');
    expect(late.code).toBe(OperatorExitCode.Failure);
    expect(late.stdout).toMatch(/accepted as revision 2[^]*late: router-1 in nayoro at 1/);
  });

  it('never call a change undone that was accepted before something else failed', async () => {
    await createDohoku();
    const set = (...flags: string[]): Promise<Run> =>
      run('settings', 'set', 'defaults', 'queueLimit', '5', ...flags);
    const badFlag = await set('--wait', 'x');
    expect(badFlag.code).toBe(OperatorExitCode.BadInput);
    expect((await run('settings', 'diff', '--from', '1')).stdout).toBe('no difference\n');
    const [log] = logs;
    if (log !== undefined) log.nextFault = 'quorum_lost_after';
    const cutOff = await set('--wait', '1', '--timeout', '1');
    expect(cutOff.code).toBe(OperatorExitCode.Failure);
    expect(cutOff.stdout).toContain('accepted as revision 2');
    expect(cutOff.stderr).toMatch(/is accepted, but where it is in force could not be learned/);
    expect(cutOff.stderr).not.toContain('Nothing was changed');
  });

  it('want the base revision of the change that is resent', async () => {
    await createDohoku();
    const change = ['settings', 'set', 'defaults', 'queueLimit', '5', '--change-id', 'change-001'];
    const refused = await run(...change);
    expect(refused.code).toBe(OperatorExitCode.BadInput);
    expect(refused.stderr).toMatch(/--change-id .* needs --base/);
    for (const repeated of [false, true]) {
      const { stdout } = await run(...change, '--base', '1', '--json');
      expect(JSON.parse(stdout)).toMatchObject({ revision: 2, repeated });
    }
  });

  it('say what a command line lacks on the error stream, with the exit code of bad input', async () => {
    const { code, stdout, stderr } = await run('settings', 'set', 'defaults');
    expect(code).toBe(OperatorExitCode.BadInput);
    expect(stderr).toContain('Not enough positional arguments');
    expect(stdout).toBe('');
  });

  it.each([1.5, 3])('say that a change of %f MB is too large, and do not insist', async (size) => {
    const client = new OperatorClient(new NodeNetwork(), new NodeClock(), {
      controllers: listeners.map(({ address }) => address),
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

  it('tell which settings and which values there are', async () => {
    await createDohoku();
    const key = await run('settings', 'set', 'defaults', 'typo', '5');
    expect(key.code).toBe(OperatorExitCode.BadInput);
    expect(key.stderr).toContain('queueLimit');
    const value = await run('settings', 'set', 'defaults', 'hedging', 'often');
    expect(value.stderr).toContain('quantile');
    for (const text of ['many', '-1', '1.5', '']) {
      const bounds = await run('settings', 'set', 'defaults', '--', 'queueLimit', text);
      expect(bounds.code).toBe(OperatorExitCode.BadInput);
      expect(bounds.stderr).toContain('queueLimit takes a whole number, 0 to 100000');
    }
  });

  it('create services and change their replicas and layouts', async () => {
    await createDohoku();
    const file = join(folder, 'shards.yaml');
    await writeFile(file, 'shards:\n  - { shardId: t0, replicas: [] }\n');
    const replica = ['--address', '127.0.0.1:9', '--zone', 'nayoro', '--slots', '5'];
    const service = ['services', 'add-replica', 'kifu-audit', 't0', 'r7', '--connections', '70'];
    await run('services', 'repartition', 'kifu-audit', '-f', file);
    expect((await run(...service, ...replica)).code).toBe(0);
    expect((await run('services', 'drop-layout', 'kifu-audit', '1')).code).toBe(0);
    expect((await run('services', 'show', 'kifu-audit')).stdout).toMatch(/2 +t0 +r7 +127.0.0.1:9/);
    await run('services', 'remove-replica', 'kifu-audit', 'r7');
    const list = await run('services', 'list');
    expect(list.stdout).toMatch(/kifu-audit +sharded +dohoku +2 \(1 shards, 0 replicas\)/);
  });

  it('create tokens that reach only their scopes, and revoke them', async () => {
    await createDohoku();
    const create = ['tokens', 'create', 'audit', '--team', 'audit', '--scope', 'zone/nayoro'];
    const token = (await run(...create)).stdout.split('\n')[0];
    const set = (scope: string, value: string): Promise<Run> =>
      runAs(token, 'settings', 'set', scope, 'queueLimit', value);
    expect((await set('defaults', '5')).code).toBe(OperatorExitCode.Refused);
    expect((await set('zone/nayoro', '5')).code).toBe(OperatorExitCode.Success);
    expect((await run('tokens', 'revoke', 'audit')).code).toBe(OperatorExitCode.Success);
    expect((await set('zone/nayoro', '6')).code).toBe(OperatorExitCode.Refused);
    expect((await run('tokens', 'list')).stdout).toMatch(/revoked +audit +sato/);
  });

  it('show the cluster, also without a quorum', async () => {
    await createDohoku();
    for (const log of logs) log.hasQuorum = false;
    const { code, stdout } = await run('status');
    expect(code).toBe(OperatorExitCode.Success);
    expect(stdout).toMatch(
      /Leader: none known[^]*controller-2 +voter[^]*router-1 +nayoro +0.1.0 +1 +20 s ago \(silent\)/,
    );
    const read = await run('settings', 'history', '--timeout', '0');
    expect(read.code).toBe(OperatorExitCode.Unavailable);
  });

  it('say what is missing when no controller or token is named', async () => {
    const noToken = await runAs(undefined, 'status');
    expect(noToken.code).toBe(OperatorExitCode.Refused);
    expect(noToken.stderr).toContain('DRIFTWAY_TOKEN');
    const nobody = await run('status', '--controller', '');
    expect(nobody.code).toBe(OperatorExitCode.BadInput);
    expect(nobody.stderr).toContain('DRIFTWAY_CONTROLLERS');
  });
});
