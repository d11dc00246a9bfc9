/** `driftway explain-request`: from a request's id to its cause, out of daemons' logs. */
import { Command, Option } from 'clipanion';
import { formatStory } from '../explain/format-story.js';
import { tellRequest } from '../explain/request-story.js';
import { ExitCode } from './daemon-process.js';
import { LogCommand } from './log-command.js';

/** Reads log lines and prints one request's story. */
export class ExplainRequestCommand extends LogCommand {
  static override paths = [['explain-request']];
  static override usage = Command.Usage({
    category: 'Diagnosis',
    description: 'Tell from log lines what became of a request and why',
    details: `
      Reads the JSON lines of one or many daemons from files, or from standard input when none is
      named, and prints the attempts of the request, what each replica was chosen by, how each
      ended, and what the gateway had last learned of routes, controllers and those replicas.

      Exits with 1 when no line names the request, or a file cannot be read. Lines are bounded, so
      a request may be among those left out.
    `,
    examples: [
      ['From the logs of all daemons', 'driftway explain-request 579748de1991367a logs/*.log'],
      ['From a stream', 'collect-logs | driftway explain-request 579748de1991367a --json'],
    ],
  });

  requestId = Option.String({ name: 'ID' });
  files = Option.Rest({ name: 'FILE' });
  json = Option.Boolean('--json', false, { description: 'Print the story as JSON' });

  override async execute(): Promise<ExitCode> {
    const lines = await this.readLines(this.files);
    if (lines === undefined) return ExitCode.Failure;
    const story = tellRequest(this.requestId, lines);
    this.print(this.json, story, formatStory(story));
    return story.chapters.length > 0 ? ExitCode.Success : ExitCode.Failure;
  }
}
