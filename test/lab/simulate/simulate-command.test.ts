import { PassThrough } from 'node:stream';
import { Cli } from 'clipanion';
import { describe, expect, it } from 'vitest';
import { SimulateCommand } from '../../../lab/commands/simulate-command.js';

async function simulate(...options: string[]): Promise<{ code: number; output: string }> {
  const cli = new Cli({ binaryName: 'driftway-lab' });
  cli.register(SimulateCommand);
  const stream = new PassThrough();
  const context = { ...Cli.defaultContext, stdout: stream, stderr: stream };
  const code = await cli.run(['simulate', ...options], context);
  return { code, output: String(stream.read() ?? '') };
}

describe('driftway-lab simulate', () => {
  it('prints one JSON object as the last line', async () => {
    const short = ['--seeds', '5..6', '--faults', 'cuts', '--minutes', '0.05', '--rate', '5'];
    // A worker thread would need a built file.
    const { code, output } = await simulate(...short, '--workers', '1', '--json');
    const summary: unknown = JSON.parse(output.trimEnd().split('\n').at(-1) ?? '');
    const none = {
      mixedSnapshot: 0,
      falseCoverage: 0,
      foreignReply: 0,
      falseNotRun: 0,
      duplicateRun: 0,
      workAfterDrain: 0,
      cutInFlight: 0,
      settingsReverted: 0,
    };
    expect(code).toBe(0);
    expect(summary).toMatchObject({ seeds: 2, violations: none, failingSeeds: [] });
  });

  it.each([
    ['--faults', 'earthquakes', 'no fault kind "earthquakes"'],
    ['--seeds', '9..3', 'no range of seeds'],
    ['--minutes', '0', '--minutes must be above 0'],
    ['--only', '3,x', 'no list of numbers'],
  ])('refuses %s %s with a reason', async (option, value, reason) => {
    const { code, output } = await simulate(option, value);
    expect(code).toBe(2);
    expect(output).toContain(reason);
  });
});
