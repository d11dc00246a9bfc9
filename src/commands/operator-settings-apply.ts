/** `driftway settings apply`: many operations, all or none. */
import { Command, Option } from 'clipanion';
import { changeFileSchema, parseFile } from '../operator/change-file.js';
import { OperatorChangeCommand, type PlannedChange } from './operator-change-command.js';

export class SettingsApplyCommand extends OperatorChangeCommand {
  static override paths = [['settings', 'apply']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Apply all operations of a file, or none of them',
    details: `
      The file is YAML or JSON with a list \`operations\` and, if you like, \`baseRevision\`,
      \`author\` and \`reason\`; flags go before the file. Only the result is validated, so the
      steps in between need not be valid.

      A file with a \`baseRevision\` can be applied at most once, whoever applies it.
    `,
    examples: [
      ['Look first', 'driftway settings apply -f winter.yaml --dry-run'],
      ['Apply', 'driftway settings apply -f winter.yaml -m "winter settings" --wait 10'],
    ],
  });

  file = Option.String('--file,-f', { required: true, description: 'YAML or JSON file' });

  protected override async plan(): Promise<PlannedChange> {
    const { baseRevision, author, reason, operations } = parseFile(
      changeFileSchema,
      this.file,
      await this.readFile(this.file),
    );
    return {
      operations,
      ...(baseRevision === undefined ? {} : { baseRevision }),
      ...(author === undefined ? {} : { author }),
      ...(reason === undefined ? {} : { reason }),
    };
  }
}
