/** `driftway-lab recovery`: controllers are killed while changes are made. */
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import { ExitCode } from '../../src/commands/daemon-process.js';
import { loadConfiguration } from '../../src/commands/load-configuration.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { fleetFileSchema } from '../fleet/fleet-file.js';
import { checkedInFleet } from '../fleet/program.js';
import { stopSignal } from '../fleet/with-fleet.js';
import { judgeRecovery } from '../recovery/recovery-verdict.js';
import { RecoveryRun } from '../recovery/recovery-run.js';
import { RunCommand } from './run-command.js';

const isCount = typanion.cascade(typanion.isNumber(), typanion.isInteger(), typanion.isAtLeast(1));
const MAXIMUM_PROBLEMS = 20;

/** See `driftway-lab recovery --help`. */
export class RecoveryCommand extends RunCommand {
  static override paths = [['recovery']];
  static override usage = Command.Usage({
    category: 'Fleets',
    description: 'Kill controllers with SIGKILL while changes are made, and check what is kept',
    details: `
      Two operators race each other with changes of the same setting on a real fleet. After every
      so many accepted changes controllers are killed and started again: in turn the leader, a
      follower, both at once, and a follower as soon as the leader is back; then the leader is
      frozen for 8 s. At the end all are killed at once and started again. Then every controller
      must have every accepted change at its revision, none that was refused, and no other
      history than its peers, and the last revision must be in force at every router. Queries
      are sent meanwhile and audited.

      Exits with 0 when all of it holds, with 1 otherwise, naming what does not.
    `,
    examples: [['Forty changes by each of the two', 'driftway-lab recovery --changes 40']],
  });

  file = Option.String('--file', checkedInFleet('dohoku'), { description: 'Fleet file (YAML)' });
  folder = Option.String('--folder', { description: 'Kept afterwards; temporary when absent' });
  changes = Option.String('--changes', '60', {
    validator: isCount,
    description: 'Changes of each operator',
  });
  changesPerKill = Option.String('--changes-per-kill', '15', {
    validator: isCount,
    description: 'Accepted changes between two of these',
  });

  protected override async runConfigured(): Promise<ExitCode> {
    const print = (line: string): void => this.print(line);
    const { changes, changesPerKill, folder } = this;
    const evidence = await new RecoveryRun({
      environment: createNodeEnvironment(),
      file: await loadConfiguration(fleetFileSchema, this.file, []),
      signal: stopSignal(),
      folder,
      print,
      changes,
      changesPerKill,
    }).run();
    const problems = judgeRecovery(evidence);
    for (const problem of problems.slice(0, MAXIMUM_PROBLEMS)) print(`PROBLEM ${problem}`);
    const { answered, kills, written } = evidence;
    print(JSON.stringify({ ok: problems.length === 0, changes: written.length, kills, answered }));
    return problems.length === 0 ? ExitCode.Success : ExitCode.Failure;
  }
}
