/** `driftway explain-losses`: which requests were not answered whole and in time, and why. */
import { Command, Option } from 'clipanion';
import { formatLosses } from '../explain/format-losses.js';
import { reportLosses } from '../explain/loss-report.js';
import { ExitCode } from './daemon-process.js';
import { LogCommand } from './log-command.js';

/** Reads log lines and prints a table of losses. */
export class ExplainLossesCommand extends LogCommand {
  static override paths = [['explain-losses']];
  static override usage = Command.Usage({
    category: 'Diagnosis',
    description: 'Count from log lines the requests that were late, in part, refused or failed',
    details: `
      Reads the JSON lines of one or many gateways from files, or from standard input when none is
      named, and prints for each route and cause how many requests lost something, how many shards
      their answers lack, and when it first and last happened.

      Lines are bounded: the table says how many were left out. Exits with 1 when a file cannot be
      read.
    `,
    examples: [['From the logs of all gateways', 'driftway explain-losses logs/*.log']],
  });

  files = Option.Rest({ name: 'FILE' });
  json = Option.Boolean('--json', false, { description: 'Print the report as JSON' });

  override async execute(): Promise<ExitCode> {
    const lines = await this.readLines(this.files);
    if (lines === undefined) return ExitCode.Failure;
    const report = reportLosses(lines);
    this.print(this.json, report, formatLosses(report));
    return ExitCode.Success;
  }
}
