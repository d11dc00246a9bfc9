/** `driftway status`: the cluster as a person wants to see it. */
import { Command } from 'clipanion';
import type { StatusReport } from '../administration/response-schemas.js';
import { formatStatus, type ClusterStatus } from '../operator/format-status.js';
import { joinGatewayRoutes } from '../operator/join-gateway-routes.js';
import { noController } from '../operator/failure-record.js';
import { OperatorError } from '../operator/operator-error.js';
import { formatAddress, type Address } from '../seams/address.js';
import { OperatorCommand } from './operator-command.js';

export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Show the leader, the controllers and their lag, the daemons and the gateways',
    details: `
      Asks every controller that is named, and shows what the leader knows; without one, what
      the controller of the newest term knows, also when it cannot hear a quorum. Controllers
      that do not answer are listed. Gateways are those that follow any of them, with the version
      of their routes, for how long they have lacked a newer one, and who owes it. How far each is behind is known to the leader only.
    `,
    examples: [
      ['The cluster', 'driftway status'],
      ['As one controller sees it', 'driftway status --controller 10.0.1.4:7400'],
    ],
  });

  /** A controller that is cut off must not hold up what the others say. Milliseconds. */
  protected override readonly longestAttemptMs = 3_000;

  protected override async run(): Promise<ClusterStatus> {
    const addresses = this.addresses();
    const answers = await Promise.all(addresses.map((address) => this.ask(address)));
    const [first] = answers;
    if (first === undefined) throw noController();
    const reports = answers.filter(isReport);
    const [best] = reports.sort(byAuthority);
    if (best === undefined) throw first as OperatorError;
    const unanswered = answers.flatMap((answer, index) => {
      const address = addresses[index];
      if (isReport(answer) || address === undefined) return [];
      return [{ controller: formatAddress(address), reason: answer.error.message }];
    });
    const routes = joinGatewayRoutes(reports.map((report) => report.routes));
    return { ...best, routes, unanswered };
  }

  protected override format(answer: unknown): string {
    return formatStatus(answer as ClusterStatus);
  }

  private async ask(address: Address): Promise<StatusReport | OperatorError> {
    const client = this.createClient([address], false);
    try {
      return await client.get<StatusReport>('/v1/status');
    } catch (error) {
      if (error instanceof OperatorError) return error;
      throw error;
    } finally {
      client.close();
    }
  }
}

function isReport(answer: StatusReport | OperatorError): answer is StatusReport {
  return !(answer instanceof OperatorError);
}

/** The newest term first, and in it the leader. */
function byAuthority(left: StatusReport, right: StatusReport): number {
  if (left.term !== right.term) return right.term - left.term;
  return Number(right.role === 'leader') - Number(left.role === 'leader');
}
