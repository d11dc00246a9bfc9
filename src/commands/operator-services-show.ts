/** `driftway services show`. */
import { Command, Option } from 'clipanion';
import type { ServiceReport } from '../administration/response-schemas.js';
import { formatTable } from '../operator/format-table.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

export class ServicesShowCommand extends OperatorCommand {
  static override paths = [['services', 'show']];
  static override usage = Command.Usage({
    category: 'Services',
    description: 'Show the layouts, shards and replicas of a service',
    examples: [['One service', 'driftway services show kifu-audit']],
  });

  service = Option.String({ name: 'SERVICE' });

  protected override run(client: OperatorClient): Promise<ServiceReport> {
    return client.get<ServiceReport>(`/v1/services/${encodeURIComponent(this.service)}`);
  }

  protected override format(answer: unknown): string {
    const { revision, service } = answer as ServiceReport;
    const rows = service.layouts.flatMap(({ layoutEpoch, shards }) =>
      shards.flatMap(({ shardId, replicas }) =>
        replicas.map(({ replicaId, address, zone, slots, connections }) => [
          String(layoutEpoch),
          shardId,
          replicaId,
          address,
          zone,
          String(slots),
          String(connections),
        ]),
      ),
    );
    const head = `${service.name} (${service.kind}, region ${service.region}) at revision ${revision}\n`;
    const header = ['LAYOUT', 'SHARD', 'REPLICA', 'ADDRESS', 'ZONE', 'SLOTS', 'CONNECTIONS'];
    return head + formatTable(header, rows);
  }
}
