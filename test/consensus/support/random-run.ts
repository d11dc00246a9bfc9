/** One run of random faults against the properties that Raft promises. */
import { NotProposedError } from '../../../src/consensus/consensus-errors.js';
import { RaftCluster, type ClusterOptions } from './raft-cluster.js';

export interface RandomRunResult {
  readonly violations: readonly string[];
  readonly acknowledged: number;
  readonly refused: number;
  readonly reads: number;
  readonly crashes: number;
}

const LONGEST_STEP = 700;
const SLOWEST_SYNC = 60;
/** Rounds after which everything is healed so that the run always makes some progress. */
const QUIET_EVERY = 20;

class RandomRun {
  private readonly acknowledged = new Map<number, string>();
  private readonly refused: string[] = [];
  private proposals = 0;
  private reads = 0;
  private crashes = 0;

  constructor(
    private readonly cluster: RaftCluster,
    private readonly ids: readonly string[],
  ) {}

  async run(rounds: number): Promise<RandomRunResult> {
    const { cluster } = this;
    for (let round = 1; round <= rounds; round += 1) {
      await this.act(round % QUIET_EVERY === 0);
      await cluster.clock.advance(cluster.random.nextInteger(1, LONGEST_STEP));
    }
    await this.healAll();
    await cluster.leader(this.ids);
    await cluster.converge(this.ids);
    this.check();
    return {
      violations: cluster.violations,
      acknowledged: this.acknowledged.size,
      refused: this.refused.length,
      reads: this.reads,
      crashes: this.crashes,
    };
  }

  private async act(quiet: boolean): Promise<void> {
    const { random, network } = this.cluster;
    if (quiet) {
      await this.healAll();
      await this.cluster.clock.advance(3_000);
    }
    for (let count = random.nextInteger(0, 6); count > 0; count -= 1) this.propose();
    if (random.nextInteger(0, 2) === 0) this.read();
    const choice = random.nextInteger(0, 13);
    if (choice <= 1) this.crash(this.anyId());
    else if (choice <= 4) await this.restartOne();
    else if (choice === 5) network.cut(this.anyId(), this.anyId());
    else if (choice === 6) network.cut(this.anyId(), this.anyId(), false);
    else if (choice === 7) this.isolate(this.leaderId() ?? this.anyId());
    else if (choice === 8) network.heal();
    else if (choice === 9) this.crashSoon();
    else if (choice === 10) this.slowDisk();
    else if (choice === 11) await this.crashLeaderAfterProposing();
    else if (choice === 12) await this.powerCut();
  }

  private propose(id = this.anyId()): void {
    const { node } = this.cluster.machine(id);
    if (node === undefined) return;
    this.proposals += 1;
    const command = `command-${this.proposals}`;
    node.propose(Buffer.from(command)).then(
      ({ index }) => this.acknowledged.set(index, command),
      (error: unknown) => {
        if (error instanceof NotProposedError) this.refused.push(command);
      },
    );
  }

  /** What was acknowledged before a read began must be seen by it. */
  private read(): void {
    const id = this.anyId();
    const { node, state } = this.cluster.machine(id);
    if (node === undefined) return;
    const before = [...this.acknowledged.values()];
    node.readBarrier().then(
      () => {
        this.reads += 1;
        const seen = new Set(state.commands);
        const missing = before.filter((command) => !seen.has(command));
        if (missing.length > 0) this.violation(`read at ${id} missed ${missing.join(', ')}`);
      },
      () => undefined,
    );
  }

  private crash(id: string): void {
    if (this.cluster.machine(id).node === undefined) return;
    this.crashes += 1;
    this.cluster.crash(id);
  }

  private slowDisk(): void {
    const { random } = this.cluster;
    this.cluster.machine(this.anyId()).disk.syncMilliseconds = random.nextInteger(1, SLOWEST_SYNC);
  }

  /** The records may have reached some members, some disks, or none. */
  private async crashLeaderAfterProposing(): Promise<void> {
    const leaderId = this.leaderId();
    if (leaderId === undefined) return;
    for (let count = 0; count < 3; count += 1) this.propose(leaderId);
    await this.cluster.clock.advance(this.cluster.random.nextInteger(1, 12));
    this.crash(leaderId);
  }

  /** All members lose power at once, and come back. */
  private async powerCut(): Promise<void> {
    this.propose();
    await this.cluster.clock.advance(this.cluster.random.nextInteger(1, 30));
    for (const id of this.ids) this.crash(id);
    for (const id of this.ids) await this.cluster.clock.run(this.cluster.start(id));
  }

  /** Dies in the middle of one of its next disk operations. */
  private crashSoon(): void {
    const { disk, node } = this.cluster.machine(this.anyId());
    if (node === undefined) return;
    this.crashes += 1;
    disk.crashAt = disk.operations + this.cluster.random.nextInteger(1, 12);
  }

  private async restartOne(): Promise<void> {
    const stopped = this.ids.filter((id) => this.cluster.machine(id).node === undefined);
    const id = stopped[this.cluster.random.nextInteger(0, Math.max(0, stopped.length - 1))];
    if (id !== undefined) await this.cluster.clock.run(this.cluster.start(id));
  }

  private isolate(id: string): void {
    for (const other of this.ids) this.cluster.network.cut(id, other);
  }

  private async healAll(): Promise<void> {
    this.cluster.network.heal();
    for (const id of this.ids) this.cluster.machine(id).disk.crashAt = Infinity;
    for (const id of this.ids) {
      if (this.cluster.machine(id).node === undefined) {
        await this.cluster.clock.run(this.cluster.start(id));
      }
    }
  }

  private check(): void {
    const [first, ...others] = this.ids.map((id) => this.cluster.commandsOf(id));
    for (const other of others) {
      if (JSON.stringify(other) !== JSON.stringify(first)) this.violation('histories differ');
    }
    const final = new Set(first);
    if (final.size !== first?.length) this.violation('a command was applied twice');
    for (const [index, command] of this.acknowledged) {
      if (!final.has(command)) this.violation(`acknowledged "${command}" at ${index} is lost`);
    }
    for (const command of this.refused) {
      if (final.has(command)) this.violation(`"${command}" was refused as not proposed, and ran`);
    }
  }

  private violation(text: string): void {
    this.cluster.violations.push(text);
  }

  private leaderId(): string | undefined {
    return this.ids.find((id) => this.cluster.machine(id).node?.status().role === 'leader');
  }

  private anyId(): string {
    return this.ids[this.cluster.random.nextInteger(0, this.ids.length - 1)] ?? '';
  }
}

/** Runs one seed. */
export async function runRandomFaults(
  seed: number,
  ids: readonly string[],
  rounds: number,
  options: ClusterOptions = {},
): Promise<RandomRunResult> {
  const cluster = await RaftCluster.started(seed, ids, options);
  return new RandomRun(cluster, ids).run(rounds);
}
