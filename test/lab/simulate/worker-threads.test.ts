import { spawnSync } from 'node:child_process';
import { describe, expect, it } from 'vitest';

/** Through the built command, since a worker thread is started from a built file. */
function lastLine(workers: number): string | undefined {
  const options = ['--seeds', '1..3', '--minutes', '0.05', '--rate', '5', '--json'];
  const command = ['bin/driftway-lab.js', 'simulate', ...options, '--workers', String(workers)];
  const { stdout } = spawnSync(process.execPath, command, { encoding: 'utf8' });
  return stdout.trimEnd().split('\n').at(-1);
}

describe('worker threads', () => {
  it('change nothing of what is found, nor its digest', () => {
    const alone = lastLine(1);
    expect(alone).toContain('"seeds":3');
    expect(lastLine(3)).toBe(alone);
  });
});
