/** `driftway evacuations start`, `end` and `list`: keeps new requests from the replicas of a zone. */
import { Command, Option } from 'clipanion';
import type { EvacuationList } from '../administration/response-schemas.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

const TARGET = '/v1/evacuations';

function formatZones({ zones }: EvacuationList): string {
  return zones.length === 0 ? 'No zone is evacuated.\n' : `Evacuated: ${zones.join(', ')}.\n`;
}

/** Base of the commands that give an order. Each may be repeated: done once is done. */
abstract class EvacuationOrderCommand extends OperatorCommand {
  zone = Option.String({ name: 'ZONE' });

  protected abstract readonly evacuated: boolean;

  protected override run(client: OperatorClient): Promise<EvacuationList> {
    const body = { zone: this.zone, evacuated: this.evacuated };
    return client.send<EvacuationList>({ method: 'POST', target: TARGET, body, resendable: true });
  }

  protected override format(answer: unknown): string {
    return formatZones(answer as EvacuationList);
  }
}

export class EvacuationsStartCommand extends EvacuationOrderCommand {
  static override paths = [['evacuations', 'start']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Send nothing new to the replicas of a zone',
    details: `
      Holds at every gateway within seconds, also over restarts, until it is ended. Requests that
      replicas of the zone have already are answered. A service that has replicas nowhere else is
      refused as not run. Needs a token for the whole tree.
    `,
    examples: [['Before a hall is worked on', 'driftway evacuations start nayoro']],
  });

  protected override readonly evacuated = true;
}

export class EvacuationsEndCommand extends EvacuationOrderCommand {
  static override paths = [['evacuations', 'end']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Let the replicas of an evacuated zone get requests again',
    examples: [['When the hall is back', 'driftway evacuations end nayoro']],
  });

  protected override readonly evacuated = false;
}

export class EvacuationsListCommand extends OperatorCommand {
  static override paths = [['evacuations', 'list']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'List the zones that are evacuated',
    examples: [['All of them', 'driftway evacuations list']],
  });

  protected override run(client: OperatorClient): Promise<EvacuationList> {
    return client.get<EvacuationList>(TARGET);
  }

  protected override format(answer: unknown): string {
    return formatZones(answer as EvacuationList);
  }
}
