import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, describe, expect, it } from 'vitest';
import { FleetProcess } from '../../../lab/fleet/fleet-process.js';
import { isPlannedEnd } from '../../../lab/fleet/process-end.js';

const folder = mkdtempSync(join(tmpdir(), 'driftway-fleet-process-'));
afterAll(() => rmSync(folder, { recursive: true }));

const NEVER = new AbortController().signal;
const STAY = 'setInterval(() => undefined, 1000);';
const SAY_UP = `console.log(JSON.stringify({ message: 'up', context: { port: 1 } }));`;

function start(name: string, script: string): FleetProcess {
  const nodeArguments = ['--eval', script];
  return new FleetProcess({ name, nodeArguments, logFile: join(folder, `${name}.log`) });
}

describe('a process of a fleet', () => {
  it('tells its log lines and stops when told to', async () => {
    const script = `process.on('SIGTERM', () => process.exit(0)); ${STAY} ${SAY_UP}`;
    const process = start('polite', script);
    const line = await process.waitFor('up', NEVER);
    expect(line.context['port']).toBe(1);
    const end = await process.stop(30_000);
    expect(end).toEqual({ name: 'polite', exitCode: 0, hung: false });
    expect(isPlannedEnd(end)).toBe(true);
    expect(readFileSync(join(folder, 'polite.log'), 'utf8')).toContain('"up"');
  });

  it('is killed and called hung when it does not stop', async () => {
    const process = start('deaf', `process.on('SIGTERM', () => undefined); ${STAY} ${SAY_UP}`);
    await process.waitFor('up', NEVER);
    const end = await process.stop(50);
    expect(end).toEqual({ name: 'deaf', signal: 'SIGKILL', hung: true });
    expect(isPlannedEnd(end)).toBe(false);
  });

  it('is out of reach of a signal to the group of the runner', async () => {
    const sayPid = `console.log(JSON.stringify({ message: 'up', context: { pid: process.pid } }));`;
    const child = start('grouped', `${STAY} ${sayPid}`);
    const { context } = await child.waitFor('up', NEVER);
    const group = -Number(context['pid']);
    expect(() => process.kill(group, 0)).not.toThrow();
    await child.kill();
  });

  it('gives up waiting for a line when it ends, and when it is interrupted', async () => {
    const ending = start('short', 'process.exit(3)');
    await expect(ending.waitFor('up', NEVER)).rejects.toThrow(/short ended/);
    expect(await ending.ended).toMatchObject({ exitCode: 3, hung: false });
    const failed = `console.log(JSON.stringify({ message: 'daemon failed', context: { reason: 'EADDRINUSE' } }));`;
    await expect(start('failing', failed).waitFor('up', NEVER)).rejects.toThrow(/EADDRINUSE/);
    const silent = start('silent', STAY);
    await expect(silent.waitFor('up', AbortSignal.abort())).rejects.toThrow(/interrupted/);
    await silent.kill();
  });
});
