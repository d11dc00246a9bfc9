/** `driftway status`: the cluster as a person wants to see it. */
import { Command } from 'clipanion';
import type { StatusReport } from '../administration/response-schemas.js';
import { formatStatus } from '../operator/format-status.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Show the leader, the controllers and their lag, and the daemons',
    details: `
      The first controller that answers tells what it knows, also when it cannot hear a quorum.
      How far each controller is behind is known to the leader only.
    `,
    examples: [
      ['The cluster', 'driftway status'],
      ['As one controller sees it', 'driftway status --controller 10.0.1.4:7400'],
    ],
  });

  protected override run(client: OperatorClient): Promise<StatusReport> {
    return client.get<StatusReport>('/v1/status');
  }

  protected override format(answer: unknown): string {
    return formatStatus(answer as StatusReport);
  }
}
