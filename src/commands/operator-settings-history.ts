/** `driftway settings history`: accepted changes, newest first. */
import { Command, Option } from 'clipanion';
import type { HistoryReport } from '../administration/response-schemas.js';
import { formatChange } from '../operator/format-change.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

export class SettingsHistoryCommand extends OperatorCommand {
  static override paths = [['settings', 'history']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Show accepted changes, newest first: who, when, why and what',
    examples: [
      ['The last twenty', 'driftway settings history'],
      ['Ten before revision 40', 'driftway settings history --before 40 --limit 10'],
    ],
  });

  limit = Option.String('--limit', '20', { description: 'Most changes shown' });
  before = Option.String('--before', { description: 'Only changes below this revision' });

  protected override run(client: OperatorClient): Promise<HistoryReport> {
    const query = new URLSearchParams({ limit: String(this.numberOf('--limit', this.limit)) });
    if (this.before !== undefined) {
      query.set('before', String(this.numberOf('--before', this.before)));
    }
    return client.get<HistoryReport>(`/v1/history?${query.toString()}`);
  }

  protected override format(answer: unknown): string {
    const { revision, changes } = answer as HistoryReport;
    return `current revision ${revision}\n${changes.map(formatChange).join('')}`;
  }
}
