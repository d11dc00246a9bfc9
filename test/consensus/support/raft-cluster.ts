/** Members on simulated machines, with what the safety properties need noted. */
import { Registry } from 'prom-client';
import type { SimulatedMachine } from '../../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../../lab/simulation/simulation.js';
import type { MemberEndpoint } from '../../../src/consensus/member-endpoint.js';
import { RaftNode } from '../../../src/consensus/raft-node.js';
import type { LogFields, Logger } from '../../../src/observability/logger.js';
import { formatAddress } from '../../../src/seams/address.js';
import type { DurableEnvironment } from '../../../src/seams/environment.js';
import type { RandomSource } from '../../../src/seams/random-source.js';
import { ClusterLinks } from './cluster-links.js';
import type { ClusterOptions, StartOptions } from './cluster-options.js';
import { CountingDisk } from './counting-disk.js';
import { HistoryMachine } from './history-machine.js';
import { acceptMember, dialMember } from './member-network.js';
import { SafetyWatch } from './safety-watch.js';
import { ShufflingConnection } from './shuffling-connection.js';

/** One machine: its disk stays, its process comes and goes. */
export interface Member {
  readonly machine: SimulatedMachine;
  disk: CountingDisk;
  node: RaftNode | undefined;
  state: HistoryMachine;
}

export const CLUSTER_ID = 'test';
const PORT = 7_400;
const ELECTION_LIMIT = 20_000;
const CONVERGENCE_LIMIT = 60_000;
/** How closely conditions are watched. Milliseconds. */
const WATCH_STEP = 2;
/** A process that is to end in a disk operation ends at most this much later. Milliseconds. */
const LATEST_CRASH = 1.5;

export class RaftCluster {
  readonly simulation: Simulation;
  readonly links: ClusterLinks;
  readonly members = new Map<string, Member>();
  /** How long members take to prove each other's identity on a new connection. Milliseconds. */
  handshakeMs = 0;
  private readonly watch = new SafetyWatch();

  constructor(
    seed: number,
    readonly initialIds: readonly string[],
    private readonly options: ClusterOptions = {},
  ) {
    this.simulation = new Simulation(seed);
    this.links = new ClusterLinks(this.simulation);
    for (const id of initialIds) this.member(id);
  }

  /** A cluster of running initial members with a leader. */
  static async started(
    seed: number,
    ids: readonly string[],
    options: ClusterOptions = {},
  ): Promise<RaftCluster> {
    const cluster = new RaftCluster(seed, ids, options);
    for (const id of ids) await cluster.start(id);
    await cluster.leader();
    return cluster;
  }

  get violations(): string[] {
    return this.watch.violations;
  }

  get random(): RandomSource {
    return this.simulation.random;
  }

  /** The machine of that name, made when first asked for. */
  member(id: string): Member {
    let member = this.members.get(id);
    if (member === undefined) {
      const machine = this.simulation.createMachine(id, this.zoneOf(id));
      const disk = this.countingDisk(id, machine.environment);
      member = { machine, disk, node: undefined, state: this.newState(id) };
      this.members.set(id, member);
    }
    return member;
  }

  addressOf(id: string): string {
    return formatAddress(this.endpoint(id).address);
  }

  node(id: string): RaftNode {
    const { node } = this.member(id);
    if (node === undefined) throw new Error(`${id} is not running`);
    return node;
  }

  /** Starts a member's process on what its disk holds, and runs until it has. */
  start(id: string, options: StartOptions = {}): Promise<RaftNode> {
    return this.simulation.settle(this.begin(id, options), options.limit);
  }

  /** Starts a member's process while others run the simulation. */
  async begin(id: string, options: StartOptions = {}): Promise<RaftNode> {
    const member = this.member(id);
    const environment = member.machine.restart({ keepDisk: options.keepDisk ?? true });
    member.state = this.newState(id);
    member.disk = this.countingDisk(id, environment);
    member.disk.crashAt = options.crashAt ?? Infinity;
    const node = await RaftNode.start(
      { ...environment, disk: member.disk },
      {
        clusterId: CLUSTER_ID,
        memberId: id,
        address: this.endpoint(id).address,
        initialMembers: (options.initialIds ?? this.initialIds).map((memberId) =>
          this.endpoint(memberId),
        ),
        join: options.join ?? false,
        stateMachine: member.state,
        dial: async (peer) => {
          const connection = await dialMember(environment, id, peer);
          await environment.clock.sleep(this.handshakeMs);
          if (this.options.shuffle !== true) return connection;
          return new ShufflingConnection(connection, environment.clock, this.random);
        },
        faults: this.options.faults,
        limits: this.options.limits,
        timings: { ...this.options.timings, ...this.options.timingsOf?.[id] },
      },
      { logger: this.logger(id), registry: new Registry() },
    );
    await environment.network.listenMessages(this.endpoint(id).address, (connection) =>
      acceptMember(node, connection),
    );
    member.node = node;
    void node.stopped.then(() => {
      if (member.node === node) member.node = undefined;
    });
    return node;
  }

  /** Kills a process: nothing it had not synced is sure to survive. */
  crash(id: string): void {
    const member = this.member(id);
    member.machine.crash();
    member.node = undefined;
  }

  /** Like {@link RaftCluster.crash}, and nothing tells the others. */
  losePower(id: string): void {
    const member = this.member(id);
    member.machine.crash({ power: true });
    member.node = undefined;
  }

  runFor(milliseconds: number): Promise<void> {
    return this.simulation.runFor(milliseconds);
  }

  /** Resolves after `milliseconds` of a simulation that others run. */
  pause(milliseconds: number): Promise<void> {
    const { simulation } = this;
    return new Promise((resolve) => simulation.at(simulation.now + milliseconds, resolve));
  }

  /** Runs until the condition holds. False when `limit` milliseconds passed first. */
  async runUntil(condition: () => boolean, limit: number): Promise<boolean> {
    const end = this.simulation.now + limit;
    while (!condition()) {
      if (this.simulation.now >= end) return false;
      await this.simulation.runFor(WATCH_STEP);
    }
    return true;
  }

  running(): string[] {
    return [...this.members].filter(([, { node }]) => node !== undefined).map(([id]) => id);
  }

  /** Waits for a leader that all of the given members follow. */
  async leader(among: readonly string[] = this.running()): Promise<string> {
    let found: string | undefined;
    const settled = (): boolean => {
      found = among.find((id) => this.isSettledLeader(id, among));
      return found !== undefined;
    };
    if (!(await this.runUntil(settled, ELECTION_LIMIT)) || found === undefined) {
      throw new Error(`no leader among ${among.join(', ')}: ${this.describe(among)}`);
    }
    return found;
  }

  /** Proposes at one member and waits for the outcome. */
  async propose(id: string, command: string): Promise<string> {
    const { result } = await this.simulation.settle(this.node(id).propose(Buffer.from(command)));
    return Buffer.from(result).toString('utf8');
  }

  /** Waits until all given members applied everything that any of them knows to be committed. */
  async converge(among: readonly string[] = this.running()): Promise<void> {
    const equal = (): boolean => {
      const statuses = among.map((id) => this.node(id).status());
      const highest = Math.max(...statuses.map(({ commitIndex }) => commitIndex));
      return statuses.every(({ appliedIndex }) => appliedIndex === highest);
    };
    if (await this.runUntil(equal, CONVERGENCE_LIMIT)) return;
    throw new Error(`not converged: ${this.describe(among)}`);
  }

  commandsOf(id: string): readonly string[] {
    return this.member(id).state.commands;
  }

  private zoneOf(id: string): string {
    return this.options.zoneOf?.[id] ?? `zone-${id}`;
  }

  private describe(ids: readonly string[]): string {
    return ids.map((id) => JSON.stringify(this.members.get(id)?.node?.status())).join(' ');
  }

  private isSettledLeader(id: string, among: readonly string[]): boolean {
    const status = this.members.get(id)?.node?.status();
    if (status?.role !== 'leader' || status.commitIndex < status.lastIndex) return false;
    return among.every((other) => this.members.get(other)?.node?.status().leaderId === id);
  }

  private endpoint(memberId: string): MemberEndpoint {
    return { memberId, address: { host: this.member(memberId).machine.host, port: PORT } };
  }

  private countingDisk(id: string, environment: DurableEnvironment): CountingDisk {
    return new CountingDisk(environment.disk, () => {
      const delay = this.random.nextFloat() * LATEST_CRASH;
      this.simulation.at(this.simulation.now + delay, () => {
        if (this.member(id).machine.environment === environment) this.crash(id);
      });
    });
  }

  private newState(id: string): HistoryMachine {
    const onApply = (index: number, command: string): void =>
      this.watch.noteApplied(id, index, command);
    return this.options.createState?.(onApply) ?? new HistoryMachine(onApply);
  }

  private logger(id: string): Logger {
    const note = (message: string, fields: LogFields = {}): void => {
      if (process.env.RAFT_LOG !== undefined) {
        console.log(this.simulation.now.toFixed(1), id, message, JSON.stringify(fields));
      }
      if (message === 'leadership won') this.watch.noteLeader(id, Number(fields.term));
    };
    const logger: Logger = { info: note, warn: note, error: note, child: () => logger };
    return logger;
  }
}
