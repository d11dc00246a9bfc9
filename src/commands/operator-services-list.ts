/** `driftway services list`. */
import { Command } from 'clipanion';
import type { ServiceList } from '../administration/response-schemas.js';
import { formatTable } from '../operator/format-table.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

export class ServicesListCommand extends OperatorCommand {
  static override paths = [['services', 'list']];
  static override usage = Command.Usage({
    category: 'Services',
    description: 'List services with the sizes of their layouts',
    examples: [['All services', 'driftway services list']],
  });

  protected override run(client: OperatorClient): Promise<ServiceList> {
    return client.get<ServiceList>('/v1/services');
  }

  protected override format(answer: unknown): string {
    const { revision, services } = answer as ServiceList;
    const rows = services.map(({ name, kind, region, layouts }) => [
      name,
      kind,
      region,
      layouts
        .map(
          (layout) =>
            `${layout.layoutEpoch} (${layout.shards} shards, ${layout.replicas} replicas)`,
        )
        .join(', '),
    ]);
    const header = ['SERVICE', 'KIND', 'REGION', 'LAYOUTS'];
    return `revision ${revision}\n${formatTable(header, rows)}`;
  }
}
