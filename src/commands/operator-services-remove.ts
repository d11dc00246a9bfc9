/** `driftway services remove`. */
import { Command, Option } from 'clipanion';
import { OperatorChangeCommand, type PlannedChange } from './operator-change-command.js';

export class ServicesRemoveCommand extends OperatorChangeCommand {
  static override paths = [['services', 'remove']];
  static override usage = Command.Usage({
    category: 'Services',
    description: 'Remove a service and the overrides at its level',
    examples: [['Remove', 'driftway services remove kifu-audit -m "moved to pnw"']],
  });

  service = Option.String({ name: 'SERVICE' });

  protected override async plan(): Promise<PlannedChange> {
    return { operations: [{ type: 'removeService', service: this.service }] };
  }
}
