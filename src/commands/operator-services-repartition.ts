/** `driftway services repartition` and `drop-layout`. */
import { Command, Option } from 'clipanion';
import { parseFile, shardsFileSchema } from '../operator/change-file.js';
import { OperatorChangeCommand, type PlannedChange } from './operator-change-command.js';

export class ServicesRepartitionCommand extends OperatorChangeCommand {
  static override paths = [['services', 'repartition']];
  static override usage = Command.Usage({
    category: 'Services',
    description: 'Add a layout with the next epoch',
    details: `
      The file is YAML or JSON with a list \`shards\`, each with its shardId and replicas. The
      earlier layouts stay until \`driftway services drop-layout\` removes them, so queries that
      were planned on them end there.
    `,
    examples: [['Go to 16 shards', 'driftway services repartition kifu-audit -f sixteen.yaml']],
  });

  service = Option.String({ name: 'SERVICE' });
  file = Option.String('--file,-f', { required: true, description: 'YAML or JSON file' });

  protected override async plan(): Promise<PlannedChange> {
    const { shards } = parseFile(shardsFileSchema, this.file, await this.readFile(this.file));
    return { operations: [{ type: 'repartition', service: this.service, shards }] };
  }
}

export class ServicesDropLayoutCommand extends OperatorChangeCommand {
  static override paths = [['services', 'drop-layout']];
  static override usage = Command.Usage({
    category: 'Services',
    description: 'Stop querying an earlier layout',
    examples: [['After a repartition', 'driftway services drop-layout kifu-audit 1']],
  });

  service = Option.String({ name: 'SERVICE' });
  layoutEpoch = Option.String({ name: 'LAYOUT' });

  protected override async plan(): Promise<PlannedChange> {
    const layoutEpoch = this.numberOf('LAYOUT', this.layoutEpoch);
    return { operations: [{ type: 'dropLayout', service: this.service, layoutEpoch }] };
  }
}
