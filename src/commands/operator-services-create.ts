/** `driftway services create`. */
import { Command, Option } from 'clipanion';
import { serviceSchema } from '../model/service-definition.js';
import { parseFile } from '../operator/change-file.js';
import { OperatorChangeCommand, type PlannedChange } from './operator-change-command.js';

export class ServicesCreateCommand extends OperatorChangeCommand {
  static override paths = [['services', 'create']];
  static override usage = Command.Usage({
    category: 'Services',
    description: 'Create a service from a file',
    details: `
      The file is YAML or JSON: name, kind (sharded or single), region, and layouts with exactly
      one layout: its layoutEpoch and its shards with their replicas. The region and the zones of
      the replicas must exist. A service made again under an old name must start with a higher
      layoutEpoch than it ever had.
    `,
    examples: [['Create', 'driftway services create -f kifu-audit.yaml -m "registry goes live"']],
  });

  file = Option.String('--file,-f', { required: true, description: 'YAML or JSON file' });

  protected override async plan(): Promise<PlannedChange> {
    const service = parseFile(serviceSchema, this.file, await this.readFile(this.file));
    return { operations: [{ type: 'createService', service }] };
  }
}
