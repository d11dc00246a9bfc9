/** Entry point of the `driftway-lab` command line. Never deployed. */
import { Builtins, Cli } from 'clipanion';
import { BenchCommand } from './bench-command.js';
import { BackendCommand } from './backend-command.js';
import { DemoCommand } from './demo-command.js';
import { FleetCommand } from './fleet-command.js';
import { PlatformCommand } from './platform-command.js';
import { SimulateCommand } from './simulate-command.js';
import { LoadCommand } from './load-command.js';
import { MeasureConsensusCommand } from './measure-consensus.js';
import { MeasureRouterCostCommand } from './measure-router-cost.js';
import { RecoveryCommand } from './recovery-command.js';
import { ScaleCommand } from './scale-command.js';

/** Runs one command line and returns its exit code. */
export async function runDriftwayLab(commandLine: readonly string[]): Promise<number> {
  const cli = new Cli({
    binaryLabel: 'driftway-lab',
    binaryName: 'driftway-lab',
    binaryVersion: '0.1.0',
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(BenchCommand);
  cli.register(BackendCommand);
  cli.register(PlatformCommand);
  cli.register(SimulateCommand);
  cli.register(FleetCommand);
  cli.register(DemoCommand);
  cli.register(RecoveryCommand);
  cli.register(LoadCommand);
  cli.register(MeasureConsensusCommand);
  cli.register(MeasureRouterCostCommand);
  cli.register(ScaleCommand);
  return cli.run([...commandLine], Cli.defaultContext);
}
