/** A replicated log of several members in one process, with failures on demand. */
import { empty } from '@most/core';
import { NoQuorumError } from '../../src/consensus/consensus-errors.js';
import type {
  CommittedCommand,
  ReplicatedLog,
  ReplicatedLogStatus,
  StateMachine,
} from '../../src/consensus/replicated-log.js';
import { SectionTag, SectionedStateMachine } from '../../src/consensus/sectioned-state-machine.js';
import { DriftwayError, ErrorLabel } from '../../src/errors/driftway-error.js';
import { EvacuationOrders } from '../../src/evacuations/evacuation-orders.js';
import { EvacuationRegister } from '../../src/evacuations/evacuation-register.js';
import { QuarantineOrders } from '../../src/quarantine/quarantine-orders.js';
import { RouteDocumentRegister } from '../../src/routes/route-document-register.js';
import { QuarantineRegister } from '../../src/quarantine/quarantine-register.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { ConfigurationStateMachine } from '../../src/settings/configuration-state-machine.js';

/** What happens to the next proposal. */
export type ProposalFault =
  'not_proposed' | 'answer_lost' | 'lost_before_commit' | 'quorum_lost_after';

/** The agreed history that the members share. */
export class MemoryHistory {
  readonly commands: Uint8Array[] = [];
  readonly members: MemoryLog[] = [];

  addMember(memberId: string): MemoryLog {
    const member = new MemoryLog(memberId, this);
    this.members.push(member);
    return member;
  }

  loseQuorum(): void {
    for (const member of this.members) member.hasQuorum = false;
  }
}

/** One member. Applies lazily, so that it lags until it proposes or is asked for a barrier. */
export class MemoryLog implements ReplicatedLog {
  readonly machine = new ConfigurationStateMachine();
  readonly evacuations = new EvacuationRegister();
  readonly quarantine = new QuarantineRegister();
  readonly routeDocument = new RouteDocumentRegister();
  readonly quarantineOrders: QuarantineOrders;
  /** Orders about zones, as a controller of two zones takes them. */
  readonly evacuationOrders: EvacuationOrders;
  private readonly state = new SectionedStateMachine(
    this.machine,
    new Map<SectionTag, StateMachine>([
      [SectionTag.Evacuations, this.evacuations],
      [SectionTag.Quarantine, this.quarantine],
      [SectionTag.RouteDocument, this.routeDocument],
    ]),
  );
  readonly applied = empty();
  nextFault: ProposalFault | undefined;
  hasQuorum = true;
  private appliedIndex = 0;

  constructor(
    private readonly memberId: string,
    private readonly history: MemoryHistory,
  ) {
    this.quarantineOrders = new QuarantineOrders({
      log: this,
      register: this.quarantine,
      clock: { sleep: async () => undefined },
      logger: SILENT_LOGGER,
    });
    this.evacuationOrders = new EvacuationOrders({
      log: this,
      register: this.evacuations,
      clock: { sleep: async () => undefined },
      knownZones: new Set(['nayoro', 'wakkanai']),
      logger: SILENT_LOGGER,
    });
  }

  async propose(command: Uint8Array): Promise<CommittedCommand> {
    const fault = this.nextFault;
    this.nextFault = undefined;
    if (fault === 'not_proposed' || !this.hasQuorum) {
      const labels = [ErrorLabel.NotRun, ErrorLabel.Transient];
      throw new DriftwayError('no leader', { step: 'propose', labels });
    }
    if (fault === 'lost_before_commit') throw new DriftwayError('cut off', { step: 'propose' });
    this.history.commands.push(command);
    const index = this.history.commands.length;
    const result = this.applyUpTo(index);
    if (fault === 'quorum_lost_after') this.history.loseQuorum();
    if (fault === 'answer_lost') throw new DriftwayError('cut off', { step: 'propose' });
    return { index, result };
  }

  async readBarrier(): Promise<void> {
    if (!this.hasQuorum) throw new NoQuorumError('no quorum');
    this.applyUpTo(this.history.commands.length);
  }

  status(): ReplicatedLogStatus {
    const lastIndex = this.history.commands.length;
    return {
      memberId: this.memberId,
      role: this.memberId === 'controller-1' ? 'leader' : 'follower',
      term: 1,
      leaderId: this.hasQuorum ? 'controller-1' : undefined,
      commitIndex: lastIndex,
      knownCommitIndex: lastIndex,
      appliedIndex: this.appliedIndex,
      lastIndex,
      sinceQuorumMs: this.hasQuorum ? 0 : Infinity,
      retiredIds: [],
      members: this.history.members.map((member) => ({
        memberId: member.memberId,
        address: '127.0.0.1:1',
        voter: true,
        matchIndex: member.appliedIndex,
      })),
    };
  }

  async close(): Promise<void> {}

  private applyUpTo(index: number): Uint8Array {
    let result = new Uint8Array();
    while (this.appliedIndex < index) {
      const command = this.history.commands[this.appliedIndex];
      this.appliedIndex += 1;
      if (command !== undefined) {
        result = new Uint8Array(this.state.apply(command, this.appliedIndex));
      }
    }
    return result;
  }
}
