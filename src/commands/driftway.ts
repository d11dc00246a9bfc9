/** Entry point of the `driftway` command line. */
import { Builtins, Cli, type BaseContext } from 'clipanion';
import { ControllerCommand } from './controller-command.js';
import { ExitCode } from './daemon-process.js';
import { OPERATOR_COMMANDS } from './operator-commands.js';
import { RouterCommand } from './router-command.js';

function createCli(): Cli {
  const cli = new Cli({ binaryLabel: 'driftway', binaryName: 'driftway', binaryVersion: '0.1.0' });
  cli.register(ControllerCommand);
  cli.register(RouterCommand);
  for (const command of OPERATOR_COMMANDS) cli.register(command);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  return cli;
}

/**
 * Runs one command line and returns its exit code. A command line that is no
 * command is told on the error stream, so that what is printed with `--json`
 * stays JSON.
 */
export async function runDriftway(
  commandLine: readonly string[],
  overrides: Partial<BaseContext> = {},
): Promise<number> {
  const cli = createCli();
  const context = { ...Cli.defaultContext, ...overrides };
  try {
    const command = cli.process([...commandLine], context);
    return await cli.run(command, context);
  } catch (error) {
    context.stderr.write(cli.error(error));
    return ExitCode.BadConfiguration;
  }
}
