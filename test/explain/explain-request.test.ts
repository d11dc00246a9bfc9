import { PassThrough, Readable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { runDriftway } from '../../src/commands/driftway.js';

const ATTEMPT = {
  replicaId: 'i-1',
  sequence: 4,
  slowness: 1,
  inFlight: 0,
  sentAtMs: 2,
  tookMs: 9,
  result: 'notRun: unreachable',
};

function line(time: number, message: string, context: object): string {
  return JSON.stringify({ context: { ...context, logLevel: 30 }, message, sequence: '0', time });
}

const LOG = [
  'a line of something else',
  line(900, 'controller lost', { gateway: 'g-1', controller: '10.0.0.4:1' }),
  line(950, 'gateway listening', { gateway: 'g-1' }),
  line(1_000, 'route document in force', { gateway: 'g-1', version: 6 }),
  line(1_500, 'replica registered', { replicaId: 'i-1', service: 'ledger' }),
  line(1_600, 'replica registered', { replicaId: 'i-other', service: 'desk' }),
  line(1_900, 'route document in force', { gateway: 'g-2', version: 8 }),
  // As a collector hands lines on: out of order, with a prefix.
  `g-1  ${line(2_000, 'request failed', { gateway: 'g-1', requestId: 'mine', status: 502, attempts: [ATTEMPT] })}`,
  line(1_800, 'route document in force', { gateway: 'g-1', version: 7 }),
  line(2_500, 'route document in force', { gateway: 'g-1', version: 9 }),
  line(2_550, 'request answered in part', {
    gateway: 'g-1',
    requestId: 'divided',
    missingAttempts: [
      { leaf: 'g-2', missing: 3, sentAtMs: 1, tookMs: 7, sends: 8, result: 'lost' },
    ],
  }),
  line(2_540, 'shards gathered for another gateway', { gateway: 'g-2', requestId: 'divided' }),
  line(2_600, 'request refused', { gateway: 'g-1', requestId: 'other', omitted: 12 }),
  line(2_610, 'connection lost under a request', {
    gateway: 'g-2',
    requestId: 'earlier',
    fingerprint: '3d60',
    replicaId: 'i-7',
  }),
  line(2_620, 'quarantine of a request changed', {
    gateway: 'g-1',
    fingerprint: '3d60',
    after: 'quarantined',
    ended: 'i-7 i-8 i-9',
  }),
  line(2_630, 'quarantine of a request changed', {
    gateway: 'g-1',
    fingerprint: 'other',
    after: 'suspected',
  }),
  line(2_700, 'request not forwarded', {
    gateway: 'g-1',
    requestId: 'refused',
    fingerprint: '3d60',
    refusal: 'quarantined',
    status: 429,
  }),
  '{"broken',
].join('\n');

async function explain(
  ...commandLine: string[]
): Promise<{ readonly code: number; readonly output: string }> {
  const stdout = new PassThrough();
  const code = await runDriftway(['explain-request', ...commandLine], {
    stdin: Readable.from([LOG]),
    stdout,
    stderr: new PassThrough(),
  });
  return { code, output: String((stdout.read() as Buffer | null) ?? '') };
}

describe('driftway explain-request', () => {
  it('tells the attempts, and what the gateway went by', async () => {
    const { code, output } = await explain('mine');
    expect(code).toBe(0);
    expect(output).toContain('request failed at gateway g-1');
    expect(output).toContain('sent at 2 ms to i-1: notRun: unreachable after 9 ms');
    expect(output).toContain('chosen by sequence=4 slowness=1 inFlight=0');
    expect(output).toContain('200 ms before: route document in force version=7');
    expect(output).toContain('500 ms before: replica registered replicaId=i-1 service=ledger');
    expect(output).not.toContain('version=6');
    expect(output).not.toContain('version=8');
    expect(output).not.toContain('version=9');
    expect(output).not.toContain('i-other');
    // Of the process before.
    expect(output).not.toContain('controller lost');
  });

  it('tells under which attempts of the same request replicas ended', async () => {
    const { output } = await explain('refused');
    expect(output).toContain('status=429');
    expect(output).toMatch(/80 ms before: quarantine of a request changed .*after=quarantined/);
    expect(output).toMatch(/90 ms before: connection lost under a request .*replicaId=i-7/);
    expect(output).not.toContain('after=suspected');
  });

  it('gives the same as JSON', async () => {
    const { output } = await explain('mine', '--json');
    expect(JSON.parse(output)).toMatchObject({
      requestId: 'mine',
      chapters: [
        {
          attempts: [ATTEMPT],
          beliefs: [{ beforeMs: 1_050 }, { beforeMs: 500 }, { beforeMs: 200 }],
        },
      ],
    });
  });

  it('says how many lines were left out when none names the request', async () => {
    const { code, output } = await explain('unknown');
    expect(code).toBe(1);
    expect(output).toBe(
      'no line names request unknown; daemons left 12 lines out of what was read\n',
    );
  });

  it('says which file it cannot read', async () => {
    expect((await explain('mine', '/nowhere/at.log')).code).toBe(1);
  });

  it('tells which gateways were asked for groups of shards, and what these say', async () => {
    const { output } = await explain('divided');
    expect(output).toContain('sent at 1 ms to gateway g-2: lost after 7 ms, 3 shards');
    expect(output).toContain('shards gathered for another gateway at gateway g-2');
    expect(output).not.toContain('undefined');
  });
});
