/** `driftway settings diff`: what changed between two revisions. */
import { Command, Option } from 'clipanion';
import { formatDifferences } from '../operator/format-operation.js';
import type { OperatorClient } from '../operator/operator-client.js';
import {
  differencesBetween,
  type ConfigurationDifference,
} from '../settings/configuration-difference.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import { OperatorCommand } from './operator-command.js';

export class SettingsDiffCommand extends OperatorCommand {
  static override paths = [['settings', 'diff']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Show what differs between two revisions of the configuration',
    details: `
      Covers settings, services and regions. Earlier revisions can be read while the
      controllers keep the changes since then. To see what a file would change, use
      \`driftway settings apply -f FILE --dry-run\`.
    `,
    examples: [
      ['What changed since revision 40?', 'driftway settings diff --from 40'],
      ['What did revision 41 change?', 'driftway settings diff --from 40 --to 41'],
    ],
  });

  from = Option.String('--from', { required: true, description: 'Earlier revision' });
  to = Option.String('--to', { description: 'Later revision; the current one when absent' });

  protected override async run(client: OperatorClient): Promise<ConfigurationDifference[]> {
    const before = this.numberOf('--from', this.from);
    const after = this.to === undefined ? undefined : this.numberOf('--to', this.to);
    return differencesBetween(await readAt(client, before), await readAt(client, after));
  }

  protected override format(answer: unknown): string {
    return formatDifferences(answer as ConfigurationDifference[]);
  }
}

function readAt(client: OperatorClient, revision: number | undefined): Promise<ConfigurationState> {
  const query = revision === undefined ? '' : `?revision=${revision}`;
  return client.get<ConfigurationState>(`/v1/configuration${query}`);
}
