/**
 * One member of the group that agrees on the history: Raft, with its log on
 * this machine's disk. See docs/design/consensus.md.
 */
import type { Stream } from '@most/types';
import type { DriftwayError } from '../errors/driftway-error.js';
import type { DurableEnvironment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import { handleAppend, handleHeartbeat } from './append-handler.js';
import { ApplyTask } from './apply-task.js';
import { BootstrapTask } from './bootstrap-task.js';
import { ConsensusMetrics } from './consensus-metrics.js';
import { ElectionTask } from './election-task.js';
import { handleTransfer, transferLeadership } from './leadership-transfer.js';
import { memberStatus } from './member-status.js';
import { MemberState } from './member-state.js';
import { MemberStorage } from './member-storage.js';
import { MembershipAction } from './membership-action.js';
import { MembershipChanger } from './membership-changer.js';
import { PeerLinks } from './peer-links.js';
import { PendingProposals } from './pending-proposals.js';
import { Proposer } from './proposer.js';
import { NO_FAULTS } from './raft-faults.js';
import type { RaftOptions, RaftTelemetry } from './raft-options.js';
import { DEFAULT_RAFT_LIMITS, DEFAULT_RAFT_TIMINGS } from './raft-timings.js';
import { Reader } from './reader.js';
import { runRecordWriter } from './record-writer.js';
import type { CommittedCommand, ReplicatedLog, ReplicatedLogStatus } from './replicated-log.js';
import { RequestServer, type RequestHandlers } from './request-server.js';
import { SnapshotHandler } from './snapshot-handler.js';
import { handleVote } from './vote-handler.js';

const INCARNATION_BYTES = 16;

/** A running member. */
export class RaftNode implements ReplicatedLog {
  /** Resolves once the member has stopped: with the cause if it stopped by itself. */
  readonly stopped: Promise<DriftwayError | undefined>;
  private readonly links: PeerLinks;
  private readonly proposals: PendingProposals;
  private readonly proposer: Proposer;
  private readonly reader: Reader;
  private readonly changer: MembershipChanger;
  private readonly applyTask: ApplyTask;
  private readonly bootstrapTask: BootstrapTask;
  private readonly server: RequestServer;

  private constructor(
    private readonly state: MemberState,
    private readonly options: RaftOptions,
  ) {
    const { clock, timings } = state.dependencies;
    this.links = new PeerLinks(state, options.dial, options.initialMembers);
    this.proposals = new PendingProposals(clock, timings.proposalTimeout);
    this.proposer = new Proposer(state, this.links, this.proposals);
    this.reader = new Reader(state, this.links);
    this.changer = new MembershipChanger(state, this.links, this.proposals);
    this.applyTask = new ApplyTask(state, this.proposals);
    this.bootstrapTask = new BootstrapTask(state, this.links, options.initialMembers);
    this.server = new RequestServer(state, this.handlers());
    this.stopped = this.finish();
  }

  /**
   * Opens the data folder and starts the member's tasks.
   *
   * @throws DamagedStorageError when the data folder cannot be trusted.
   * @throws DiskError when it cannot be read or written.
   */
  static async start(
    environment: DurableEnvironment,
    options: RaftOptions,
    telemetry: RaftTelemetry,
  ): Promise<RaftNode> {
    const { clock, random, disk } = environment;
    const { clusterId, memberId, stateMachine } = options;
    const limits = { ...DEFAULT_RAFT_LIMITS, ...options.limits };
    const identity = {
      clusterId,
      memberId,
      newIncarnation: random.nextIdentifier(INCARNATION_BYTES),
    };
    const storage = await MemberStorage.open(disk, identity, limits);
    const { snapshot } = storage;
    if (snapshot !== undefined && snapshot.index > 0) stateMachine.restore(snapshot.data);
    const state = new MemberState({
      clusterId,
      memberId,
      clock,
      random,
      logger: telemetry.logger.child({ member: memberId }),
      metrics: new ConsensusMetrics(telemetry.registry),
      timings: { ...DEFAULT_RAFT_TIMINGS, ...options.timings },
      limits,
      faults: options.faults ?? NO_FAULTS,
      stopWhenRetired: options.stopWhenRetired ?? false,
      stateMachine,
      storage,
    });
    if (storage.tornBytes > 0) {
      state.dependencies.logger.warn('interrupted write cut off', { bytes: storage.tornBytes });
    }
    const node = new RaftNode(state, options);
    node.startTasks();
    return node;
  }

  /** Emits the applied index each time it grows. */
  get applied(): Stream<number> {
    return this.applyTask.applied;
  }

  propose(command: Uint8Array, caller?: AbortSignal): Promise<CommittedCommand> {
    return this.proposer.propose(command, caller);
  }

  readBarrier(): Promise<void> {
    return this.reader.readBarrier();
  }

  status(): ReplicatedLogStatus {
    return memberStatus(this.state);
  }

  /**
   * Serves another member's connection, after the handshake, until it ends.
   *
   * @param memberId - the member that the handshake proved.
   */
  acceptConnection(connection: MessageConnection, memberId: string): Promise<void> {
    return this.server.serve(connection, memberId);
  }

  /**
   * Adds a member that gets all records but has no vote. It must run already,
   * started with `join` and an empty data folder.
   *
   * @throws MembershipChangeRefusedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when it may have been.
   */
  addLearner(memberId: string, address: string): Promise<void> {
    return this.changer.change({ action: MembershipAction.AddLearner, memberId, address });
  }

  /** Gives a learner a vote once it caught up. Throws like {@link RaftNode.addLearner}. */
  promote(memberId: string): Promise<void> {
    return this.changer.change({ action: MembershipAction.Promote, memberId, address: '' });
  }

  /** Takes a member out for good. Throws like {@link RaftNode.addLearner}. */
  remove(memberId: string): Promise<void> {
    return this.changer.change({ action: MembershipAction.Remove, memberId, address: '' });
  }

  async close(): Promise<void> {
    const { leadership } = this.state;
    if (leadership !== undefined) await transferLeadership(this.state, this.links, leadership);
    this.state.stop();
    await this.stopped;
  }

  private startTasks(): void {
    const { state, options } = this;
    if (!state.bootstrapped && !options.join) this.runTask(this.bootstrapTask.run());
    this.runTask(new ElectionTask(state, this.links).run());
    this.runTask(runRecordWriter(state));
    this.runTask(this.applyTask.run());
  }

  /** Tasks handle their own errors; one that does not stops the member. */
  private runTask(task: Promise<void>): void {
    task.catch((error: unknown) => this.state.failUnexpectedly(error));
  }

  private handlers(): RequestHandlers {
    const { state, proposer, reader, changer, bootstrapTask } = this;
    const snapshots = new SnapshotHandler(state, (index) =>
      this.applyTask.onSnapshotInstalled(index),
    );
    return {
      vote: (request) => handleVote(state, request),
      append: (request) => handleAppend(state, request),
      heartbeat: (request) => handleHeartbeat(state, request),
      snapshot: (request) => snapshots.handle(request),
      propose: (request) => proposer.handleForwarded(request.command),
      changeMembership: (request) => changer.handleForwarded(request),
      readIndex: () => reader.handleReadIndex(),
      transfer: async (request, peerId) => handleTransfer(state, request, peerId),
      bootstrap: async () => bootstrapTask.handleRequest(),
    };
  }

  /** Waits for the stop and lets go of everything. */
  private async finish(): Promise<DriftwayError | undefined> {
    const { state } = this;
    await new Promise<void>((resolve) => {
      state.signal.addEventListener('abort', () => resolve(), { once: true });
    });
    this.proposals.forgetAll();
    this.server.close();
    this.links.close();
    await this.applyTask.settled();
    await state.idle();
    await state.dependencies.storage.close().catch(() => undefined);
    return state.failure;
  }
}
