import { PassThrough, Readable } from 'node:stream';
import { expect, it } from 'vitest';
import { runDriftway } from '../../src/commands/driftway.js';
import { readLogLines } from '../../src/explain/log-line.js';
import { reportLosses } from '../../src/explain/loss-report.js';

function line(time: number, message: string, context: object): string {
  return JSON.stringify({ context: { ...context, logLevel: 30 }, message, sequence: '0', time });
}

const G1 = { gateway: 'g-1', route: 'sweep' };
const SILENT = { result: 'in flight' };
const UNREACHABLE = { result: 'notRun: unreachable' };

const LOG = [
  line(1_000, 'gateway listening', { gateway: 'g-1' }),
  line(2_000, 'request answered late', { ...G1, omitted: 3 }),
  line(9_000, 'request answered late', G1),
  line(9_100, 'request answered late', G1),
  line(9_200, 'request answered', { ...G1, omitted: 4 }),
  line(9_300, 'request answered after more than one sending', G1),
  line(9_400, 'request answered in part', {
    ...G1,
    missing: 2,
    missingAttempts: [SILENT, UNREACHABLE, SILENT],
  }),
  line(9_500, 'request refused', { ...G1, reason: 'the replicas are overloaded' }),
  line(9_600, 'request failed', { ...G1, reason: 'the time is up' }),
  line(9_700, 'request not forwarded', { gateway: 'g-1', reason: 'no route document yet' }),
].join('\n');

it('counts what was lost by route and cause, after a start apart', () => {
  const { rows, decisions, linesLeftOut } = reportLosses(readLogLines(LOG));
  expect(rows.map(({ requests, route, cause }) => [requests, route, cause])).toEqual([
    [2, 'sweep', 'late'],
    [1, 'sweep', 'late, after a start'],
    [1, 'sweep', 'parts missing: no answer yet'],
    [1, 'sweep', 'refused: the replicas are overloaded'],
    [1, 'sweep', 'failed: the time is up'],
    [1, '', 'not forwarded: no route document yet'],
  ]);
  expect(rows[0]).toMatchObject({ firstAt: 9_000, lastAt: 9_100 });
  expect(rows[2]).toMatchObject({ missingShards: 2 });
  expect({ decisions, linesLeftOut }).toEqual({ decisions: 9, linesLeftOut: 7 });
});

it('tells late parts from late answers, and partial answers that were late', () => {
  const late = { ...G1, elapsedMs: 250, targetMs: 179 };
  const partial = { missing: 1, missingAttempts: [SILENT] };
  const { rows } = reportLosses(
    readLogLines(
      [
        line(1_000, 'request answered late', { ...late, coveredMs: 248 }),
        line(1_100, 'request answered late', { ...late, coveredMs: 120 }),
        line(1_200, 'request answered in part', { ...late, ...partial, coveredMs: 240 }),
        line(1_300, 'request answered in part', {
          ...late,
          ...partial,
          elapsedMs: 160,
          coveredMs: 90,
        }),
      ].join('\n'),
    ),
  );
  expect(rows.map(({ cause }) => cause).sort()).toEqual([
    'late answer to parts in time',
    'late parts',
    'late parts, parts missing: no answer yet',
    'parts missing: no answer yet',
  ]);
});

it('counts no line that does not say what became of a request', () => {
  const lines = [
    line(1_000, 'quarantine of a request changed', { gateway: 'g-1', after: 'suspected' }),
    line(1_100, 'connection lost under a request', { gateway: 'g-1', service: 'ledger' }),
  ];
  const { rows, decisions } = reportLosses(readLogLines(lines.join('\n')));
  expect(rows).toEqual([]);
  expect(decisions).toBe(0);
});

it('prints a table from standard input', async () => {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const code = await runDriftway(['explain-losses'], {
    stdin: Readable.from([LOG]),
    stdout,
    stderr,
  });
  const output = String(stdout.read());
  expect(code).toBe(0);
  expect(output).toContain('9 lines about requests, 7 more were left out');
  expect(output).toContain('parts missing: no answer yet');
});

it('exits with 1 when a file cannot be read', async () => {
  const stderr = new PassThrough();
  const stdout = new PassThrough();
  const streams = { stdin: Readable.from(['']), stdout, stderr };
  expect(await runDriftway(['explain-losses', 'no-such-file.log'], streams)).toBe(1);
  expect(String(stderr.read())).toContain('cannot read the log');
});
