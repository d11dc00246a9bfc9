/** Entry point of the `driftway` command line. */
import type { BaseContext } from 'clipanion';
import { ControllerCommand } from './controller-command.js';
import { ExplainLossesCommand } from './explain-losses-command.js';
import { ExplainRequestCommand } from './explain-request-command.js';
import { GatewayCommand } from './gateway-command.js';
import { OPERATOR_COMMANDS } from './operator-commands.js';
import { RouterCommand } from './router-command.js';
import { createCommandLine, runCommandLine } from './run-command-line.js';

/** Runs one command line and returns its exit code. */
export function runDriftway(
  commandLine: readonly string[],
  overrides: Partial<BaseContext> = {},
): Promise<number> {
  const daemons = [ControllerCommand, RouterCommand, GatewayCommand];
  const commands = [...daemons, ExplainLossesCommand, ExplainRequestCommand, ...OPERATOR_COMMANDS];
  return runCommandLine(createCommandLine('driftway', commands), commandLine, overrides);
}
