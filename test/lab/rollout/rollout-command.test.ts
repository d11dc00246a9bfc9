import { PassThrough } from 'node:stream';
import { Cli } from 'clipanion';
import { describe, expect, it } from 'vitest';
import { LivesCommand } from '../../../lab/commands/lives-command.js';
import { RolloutCommand } from '../../../lab/commands/rollout-command.js';

async function run(...words: string[]): Promise<{ code: number; output: string }> {
  const cli = new Cli({ binaryName: 'driftway-lab' });
  cli.register(RolloutCommand);
  cli.register(LivesCommand);
  const stream = new PassThrough();
  const context = { ...Cli.defaultContext, stdout: stream, stderr: stream };
  const code = await cli.run(words, context);
  return { code, output: String(stream.read() ?? '') };
}

describe('driftway-lab rollout', () => {
  it('prints a line for each seed', async () => {
    const { code, output } = await run('rollout', '--seeds', '3..4', '--seconds', '3');
    expect(code).toBe(0);
    expect(output).toMatch(/^seed 3: \d+ documents, .* 0 late, 0 reverted\nseed 4: /);
  });

  it.each([
    ['--faults', 'earthquakes', 'no fault is called "earthquakes"'],
    ['--seeds', '9..3', 'no range of seeds'],
    ['--controllers', '2', '--controllers must be 3'],
    ['--controllers', '5', '--controllers must be 3'],
    ['--at-once', '2', '--at-once must be less than half'],
    ['--pauses', '20,soon', 'no list of milliseconds'],
  ])('refuses %s %s with a reason', async (option, value, reason) => {
    const { code, output } = await run('rollout', option, value);
    expect(code).toBe(2);
    expect(output).toContain(reason);
  });
});

describe('driftway-lab lives', () => {
  it('refuses what is no range of seeds', async () => {
    const { code, output } = await run('lives', '--seeds', 'all');
    expect(code).toBe(2);
    expect(output).toContain('no range of seeds');
  });
});
