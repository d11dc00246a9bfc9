/** Runs a command line; what the two entry points share. */
import { Builtins, Cli, type BaseContext, type CommandClass } from 'clipanion';
import { SOFTWARE_VERSION } from '../software-version.js';
import { ExitCode } from './daemon-process.js';

/** Makes the command line `name` of `commands`, with help and version. */
export function createCommandLine(name: string, commands: readonly CommandClass[]): Cli {
  const cli = new Cli({ binaryLabel: name, binaryName: name, binaryVersion: SOFTWARE_VERSION });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  for (const command of commands) cli.register(command);
  return cli;
}

/**
 * Runs one command line and returns its exit code. A command line that is no
 * command is told on the error stream, so that what is printed with `--json`
 * stays JSON.
 */
export async function runCommandLine(
  cli: Cli,
  commandLine: readonly string[],
  overrides: Partial<BaseContext> = {},
): Promise<number> {
  const context = { ...Cli.defaultContext, ...overrides };
  try {
    const command = cli.process([...commandLine], context);
    return await cli.run(command, context);
  } catch (error) {
    context.stderr.write(cli.error(error));
    return ExitCode.BadConfiguration;
  }
}
