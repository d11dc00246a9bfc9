/** `driftway settings explain`: each value in force and the level it came from. */
import { Command, Option } from 'clipanion';
import type { EffectiveReport } from '../administration/response-schemas.js';
import { formatTable } from '../operator/format-table.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

export class SettingsExplainCommand extends OperatorCommand {
  static override paths = [['settings', 'explain']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Show each setting in force for a service in a zone and where it comes from',
    details: `
      A value comes from the narrowest level that sets the key: service, then zone, then
      region, then defaults, then the built-in value. The last column shows what wider levels
      say and the narrower one hides.
    `,
    examples: [
      [
        'Why does kifu-audit wait so long in nayoro?',
        'driftway settings explain kifu-audit --zone nayoro',
      ],
    ],
  });

  service = Option.String({ name: 'SERVICE' });
  zone = Option.String('--zone', { required: true, description: 'Zone of the routers' });

  protected override run(client: OperatorClient): Promise<EffectiveReport> {
    const target = `/v1/services/${encodeURIComponent(this.service)}/effective`;
    return client.get<EffectiveReport>(`${target}?zone=${encodeURIComponent(this.zone)}`);
  }

  protected override format(answer: unknown): string {
    const { revision, service, zone, settings } = answer as EffectiveReport;
    const rows = settings.map(({ key, value, level, hidden }) => [
      key,
      String(value),
      level,
      hidden.map((other) => `${other.level}=${other.value}`).join(', '),
    ]);
    const head = `${service} in zone ${zone} at revision ${revision}\n`;
    return head + formatTable(['SETTING', 'VALUE', 'FROM', 'HIDES'], rows);
  }
}
