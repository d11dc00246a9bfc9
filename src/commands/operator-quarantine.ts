/** `driftway quarantine list` and `lift`: requests that are refused because replicas end under them. */
import { Command, Option } from 'clipanion';
import type { QuarantineList } from '../administration/response-schemas.js';
import { formatTable } from '../operator/format-table.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

const TARGET = '/v1/quarantine';

function formatRequests({ requests }: QuarantineList): string {
  if (requests.length === 0) return 'No request is suspected or refused.\n';
  const header = ['FINGERPRINT', 'STATE', 'ENDED', 'IN TRIALS', 'REQUEST', 'REPLICAS'];
  const rows = requests.map(({ fingerprint, state, ended, endedInTrial, description }) => [
    fingerprint,
    state,
    String(ended.length),
    String(endedInTrial.length),
    description,
    ended.join(' '),
  ]);
  return formatTable(header, rows);
}

export class QuarantineListCommand extends OperatorCommand {
  static override paths = [['quarantine', 'list']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'List requests under which replicas end',
    details: `
      A suspected request is sent to one replica at a time until one answers it. A quarantined one
      is refused by every gateway with status 429, and was sent to no replica. Names the replicas
      that ended under each (eight at most), and how many of them in a trial of this request alone.
    `,
    examples: [['All of them', 'driftway quarantine list']],
  });

  protected override run(client: OperatorClient): Promise<QuarantineList> {
    return client.get<QuarantineList>(TARGET);
  }

  protected override format(answer: unknown): string {
    return formatRequests(answer as QuarantineList);
  }
}

export class QuarantineLiftCommand extends OperatorCommand {
  static override paths = [['quarantine', 'lift']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Have a quarantined request sent to replicas again',
    details: `
      Holds at every gateway within seconds. What was held against the request before counts no
      more; if replicas end under it again, it is refused again. Needs a token for the whole tree.
    `,
    examples: [['After a mended release', 'driftway quarantine lift 3d60bf78fe68b95146d9d48d']],
  });

  fingerprint = Option.String({ name: 'FINGERPRINT' });

  protected override run(client: OperatorClient): Promise<QuarantineList> {
    const body = { fingerprint: this.fingerprint };
    const target = `${TARGET}/lift`;
    return client.send<QuarantineList>({ method: 'POST', target, body, resendable: true });
  }

  protected override format(answer: unknown): string {
    return formatRequests(answer as QuarantineList);
  }
}
