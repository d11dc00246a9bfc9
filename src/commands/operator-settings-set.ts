/** `driftway settings set`: overrides one key at one level. */
import { Command, Option } from 'clipanion';
import { parseSettingKey, parseSettingValue } from '../operator/setting-value.js';
import { OperatorChangeCommand, type PlannedChange } from './operator-change-command.js';

export class SettingsSetCommand extends OperatorChangeCommand {
  static override paths = [['settings', 'set']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Set one setting at one level of the tree',
    details: `
      SCOPE is \`defaults\`, \`region/NAME\`, \`zone/NAME\` or \`service/NAME\`. The value holds
      for everything beneath it unless a narrower level says otherwise. The controllers refuse
      a value that would make any service in any zone invalid.

      The change is made against the current revision; if someone else's change is accepted in
      between, this one is refused with exit code 3 and what is there now is shown.
    `,
    examples: [
      [
        'Allow half of the shards to be missing',
        'driftway settings set service/station-lookup requiredCoverage 0.5 -m "storm season"',
      ],
      ['Only look', 'driftway settings set zone/nayoro queueLimit 200 --dry-run'],
      ['Be sure it took', 'driftway settings set defaults hedging quantile --wait 10'],
    ],
  });

  scope = Option.String({ name: 'SCOPE' });
  key = Option.String({ name: 'KEY' });
  value = Option.String({ name: 'VALUE' });

  protected override async plan(): Promise<PlannedChange> {
    const key = parseSettingKey(this.key);
    const value = parseSettingValue(key, this.value);
    return { operations: [{ type: 'set', scope: this.scope, key, value }] };
  }
}
