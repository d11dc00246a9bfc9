/** Entry point of the `driftway` command line. */
import { Builtins, Cli } from 'clipanion';
import { ControllerCommand } from './controller-command.js';
import { OPERATOR_COMMANDS } from './operator-commands.js';
import { RouterCommand } from './router-command.js';

/** Runs one command line and returns its exit code. */
export async function runDriftway(commandLine: readonly string[]): Promise<number> {
  const cli = new Cli({ binaryLabel: 'driftway', binaryName: 'driftway', binaryVersion: '0.1.0' });
  cli.register(ControllerCommand);
  cli.register(RouterCommand);
  for (const command of OPERATOR_COMMANDS) cli.register(command);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  return cli.run([...commandLine], Cli.defaultContext);
}
