/** `driftway members add`, `promote` and `remove`: the controllers' group, one member at a time. */
import { Command, Option } from 'clipanion';
import type { MemberList } from '../administration/response-schemas.js';
import { formatMembers } from '../operator/format-status.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

const TARGET = '/v1/members';

/** What the endpoint takes. */
type MemberRequest =
  | { readonly action: 'addLearner'; readonly memberId: string; readonly address: string }
  | { readonly action: 'promote' | 'remove'; readonly memberId: string };

/** Base of the commands that change the group. Each may be repeated: done once is done. */
abstract class MembersCommand extends OperatorCommand {
  memberId = Option.String({ name: 'MEMBER' });

  /** A member that is to vote is waited for until it has caught up. */
  protected override readonly longestAttemptMs = Infinity;

  protected abstract request(): MemberRequest;

  protected override run(client: OperatorClient): Promise<MemberList> {
    const body = this.request();
    return client.send<MemberList>({ method: 'POST', target: TARGET, body, resendable: true });
  }

  protected override format(answer: unknown): string {
    const { members } = answer as MemberList;
    return formatMembers(members);
  }
}

export class MembersAddCommand extends MembersCommand {
  static override paths = [['members', 'add']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Add a controller that receives the history and does not vote yet',
    details: `
      Start the new controller first, with \`join: true\`, an empty data folder and a member id
      that was never used before. ADDRESS is its \`listen.messages\`. Then let it vote with
      \`driftway members promote\`. Needs a token for the whole tree.
    `,
    examples: [['A fourth controller', 'driftway members add controller-4 10.0.4.1:7500']],
  });

  address = Option.String({ name: 'ADDRESS' });

  protected override request(): MemberRequest {
    return { action: 'addLearner', memberId: this.memberId, address: this.address };
  }
}

export class MembersPromoteCommand extends MembersCommand {
  static override paths = [['members', 'promote']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Let an added controller vote, once it has caught up',
    details: `
      Waits some seconds for the controller to catch up; exits with 5 and changes nothing when it
      has not. Run it again then.
    `,
    examples: [['After adding it', 'driftway members promote controller-4']],
  });

  protected override request(): MemberRequest {
    return { action: 'promote', memberId: this.memberId };
  }
}

export class MembersRemoveCommand extends MembersCommand {
  static override paths = [['members', 'remove']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Remove a controller from the group for good',
    details: `
      Its member id can never be used again. A removal after which no majority would answer is
      refused. Replace a controller that lost its disk by adding and promoting a new one first;
      see docs/operators/replace-controller.md.
    `,
    examples: [['One that lost its disk', 'driftway members remove controller-2']],
  });

  protected override request(): MemberRequest {
    return { action: 'remove', memberId: this.memberId };
  }
}
