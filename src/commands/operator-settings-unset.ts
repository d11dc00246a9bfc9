/** `driftway settings unset`: removes one override. */
import { Command, Option } from 'clipanion';
import { parseSettingKey } from '../operator/setting-value.js';
import { OperatorChangeCommand, type PlannedChange } from './operator-change-command.js';

export class SettingsUnsetCommand extends OperatorChangeCommand {
  static override paths = [['settings', 'unset']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Remove one override, so that the wider levels hold again',
    examples: [['Back to what the region says', 'driftway settings unset zone/nayoro queueLimit']],
  });

  scope = Option.String({ name: 'SCOPE' });
  key = Option.String({ name: 'KEY' });

  protected override async plan(): Promise<PlannedChange> {
    const key = parseSettingKey(this.key);
    return { operations: [{ type: 'unset', scope: this.scope, key }] };
  }
}
