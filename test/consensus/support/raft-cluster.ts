/** Members in one process on fake seams, with what the safety properties need noted. */
import { Registry } from 'prom-client';
import type { MemberEndpoint } from '../../../src/consensus/member-endpoint.js';
import type { RaftFaults } from '../../../src/consensus/raft-faults.js';
import { RaftNode } from '../../../src/consensus/raft-node.js';
import type { RaftLimits, RaftTimings } from '../../../src/consensus/raft-timings.js';
import { PureRandomSource } from '../../../src/node/pure-random-source.js';
import type { LogFields, Logger } from '../../../src/observability/logger.js';
import type { DurableEnvironment } from '../../../src/seams/environment.js';
import type { MessageConnection } from '../../../src/seams/message-connection.js';
import { CrashingDisk } from './crashing-disk.js';
import { HistoryMachine } from './history-machine.js';
import { PairNetwork } from './pair-network.js';
import { VirtualClock } from './virtual-clock.js';

export interface ClusterOptions {
  readonly faults?: RaftFaults;
  readonly limits?: Partial<RaftLimits>;
  readonly timings?: Partial<RaftTimings>;
  /** Timings of single members, for clocks that run differently. */
  readonly timingsOf?: Readonly<Record<string, Partial<RaftTimings>>>;
}

/** One machine: its disk stays, its process comes and goes. */
export interface Machine {
  readonly disk: CrashingDisk;
  node: RaftNode | undefined;
  state: HistoryMachine;
}

export const CLUSTER_ID = 'test';
const FIRST_PORT = 7_000;
const ELECTION_LIMIT = 20_000;

export class RaftCluster {
  readonly clock = new VirtualClock();
  readonly random: PureRandomSource;
  readonly network: PairNetwork;
  readonly machines = new Map<string, Machine>();
  readonly violations: string[] = [];
  private readonly applied = new Map<number, string>();
  private readonly leaders = new Map<number, string>();

  constructor(
    seed: number,
    readonly initialIds: readonly string[],
    private readonly options: ClusterOptions = {},
  ) {
    this.random = new PureRandomSource(seed);
    this.network = new PairNetwork(this.clock, this.random);
  }

  /** A cluster of running initial members with a leader. */
  static async started(
    seed: number,
    ids: readonly string[],
    options: ClusterOptions = {},
  ): Promise<RaftCluster> {
    const cluster = new RaftCluster(seed, ids, options);
    await cluster.clock.run(Promise.all(ids.map((id) => cluster.start(id))));
    await cluster.leader();
    return cluster;
  }

  addressOf(id: string): string {
    return `10.0.0.1:${this.portOf(id)}`;
  }

  machine(id: string): Machine {
    let machine = this.machines.get(id);
    if (machine === undefined) {
      const disk = new CrashingDisk(this.clock, this.random);
      machine = { disk, node: undefined, state: this.newState(id) };
      this.machines.set(id, machine);
    }
    return machine;
  }

  node(id: string): RaftNode {
    const { node } = this.machine(id);
    if (node === undefined) throw new Error(`${id} is not running`);
    return node;
  }

  /** Starts a member's process on its disk. */
  async start(id: string, join = false): Promise<RaftNode> {
    const machine = this.machine(id);
    machine.state = this.newState(id);
    const environment = {
      clock: this.clock,
      random: this.random,
      disk: machine.disk,
    } as unknown as DurableEnvironment;
    machine.disk.onCrash = () => this.abandon(id);
    const endpoint = (memberId: string): MemberEndpoint => {
      return { memberId, address: { host: '10.0.0.1', port: this.portOf(memberId) } };
    };
    const node = await RaftNode.start(
      environment,
      {
        clusterId: CLUSTER_ID,
        memberId: id,
        address: endpoint(id).address,
        initialMembers: this.initialIds.map(endpoint),
        join,
        stateMachine: machine.state,
        dial: (member) => this.dial(id, member.memberId),
        faults: this.options.faults,
        limits: this.options.limits,
        timings: { ...this.options.timings, ...this.options.timingsOf?.[id] },
      },
      { logger: this.logger(id), registry: new Registry() },
    );
    machine.node = node;
    void node.stopped.then(() => {
      if (machine.node === node) this.abandon(id);
    });
    return node;
  }

  /** Kills a process: nothing it had not synced is sure to survive. */
  crash(id: string): void {
    this.abandon(id);
    this.machine(id).disk.crash();
  }

  running(): string[] {
    return [...this.machines].filter(([, { node }]) => node !== undefined).map(([id]) => id);
  }

  /** Waits for a leader among the running members that a majority follows. */
  async leader(among: readonly string[] = this.running()): Promise<string> {
    let found: string | undefined;
    const settled = (): boolean => {
      found = among.find((id) => this.isSettledLeader(id, among));
      return found !== undefined;
    };
    if (!(await this.clock.advanceUntil(settled, ELECTION_LIMIT)) || found === undefined) {
      throw new Error(`no leader among ${among.join(', ')}`);
    }
    return found;
  }

  /** Proposes at one member and waits for the outcome. */
  async propose(id: string, command: string): Promise<string> {
    const { result } = await this.clock.run(this.node(id).propose(Buffer.from(command)));
    return Buffer.from(result).toString('utf8');
  }

  /** Waits until all running members applied everything the leader committed. */
  async converge(among: readonly string[] = this.running()): Promise<void> {
    const equal = (): boolean => {
      const indexes = among.map((id) => this.node(id).status());
      const highest = Math.max(...indexes.map(({ commitIndex }) => commitIndex));
      return indexes.every(({ appliedIndex }) => appliedIndex === highest);
    };
    if (!(await this.clock.advanceUntil(equal, 60_000))) {
      const statuses = among.map((id) => JSON.stringify(this.node(id).status()));
      throw new Error(`not converged: ${statuses.join(' ')}`);
    }
  }

  commandsOf(id: string): readonly string[] {
    return this.machine(id).state.commands;
  }

  private isSettledLeader(id: string, among: readonly string[]): boolean {
    const status = this.machines.get(id)?.node?.status();
    if (status?.role !== 'leader' || status.commitIndex < status.lastIndex) return false;
    return among.every((other) => this.machines.get(other)?.node?.status().leaderId === id);
  }

  private portOf(id: string): number {
    return FIRST_PORT + Buffer.from(id).reduce((sum, byte) => (sum * 31 + byte) % 50_000, 0);
  }

  private dial(from: string, to: string): Promise<MessageConnection> {
    return this.network.connect(from, to, (connection) => {
      const node = this.machines.get(to)?.node;
      if (node === undefined) connection.close();
      else void node.acceptConnection(connection, from);
    });
  }

  /** The process is gone; nothing it still does reaches anyone. */
  private abandon(id: string): void {
    const machine = this.machine(id);
    const { node } = machine;
    machine.node = undefined;
    this.network.dropAllOf(id);
    // Ends its timers; its disk no longer answers.
    if (node !== undefined) stopWithoutTransfer(node);
  }

  private newState(id: string): HistoryMachine {
    return new HistoryMachine((index, command) => {
      const known = this.applied.get(index);
      if (known === undefined) this.applied.set(index, command);
      else if (known !== command) {
        this.violations.push(`${id} applied "${command}" at ${index}, others "${known}"`);
      }
    });
  }

  private logger(id: string): Logger {
    const note = (message: string, fields: LogFields = {}): void => {
      if (process.env.RAFT_LOG !== undefined) {
        console.log(this.clock.now().toFixed(1), id, message, JSON.stringify(fields));
      }
      if (message !== 'leadership won') return;
      const term = Number(fields.term);
      const known = this.leaders.get(term);
      if (known !== undefined && known !== id) {
        this.violations.push(`${known} and ${id} both lead term ${term}`);
      }
      this.leaders.set(term, id);
    };
    const logger: Logger = { info: note, warn: note, error: note, child: () => logger };
    return logger;
  }
}

function stopWithoutTransfer(node: RaftNode): void {
  (node as unknown as { state: { stop(): void } }).state.stop();
}
