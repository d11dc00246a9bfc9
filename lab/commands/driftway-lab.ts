/** Entry point of the `driftway-lab` command line. Never deployed. */
import { Builtins, Cli } from 'clipanion';
import { BenchCommand } from './bench-command.js';
import { BackendCommand } from './backend-command.js';
import { PlatformCommand } from './platform-command.js';
import { SimulateCommand } from './simulate-command.js';
import { MeasureRouterCostCommand } from './measure-router-cost.js';

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
  cli.register(MeasureRouterCostCommand);
  return cli.run([...commandLine], Cli.defaultContext);
}
