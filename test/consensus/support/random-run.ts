/** One run of random faults against the properties that Raft promises. */
import { NotProposedError } from '../../../src/consensus/consensus-errors.js';
import type { ClusterOptions } from './cluster-options.js';
import { RaftCluster } from './raft-cluster.js';
import { RandomFaults } from './random-faults.js';

export interface RandomRunResult {
  readonly violations: readonly string[];
  readonly acknowledged: number;
  readonly refused: number;
  readonly reads: number;
  readonly crashes: number;
  readonly replacements: number;
}

const LONGEST_STEP = 700;
/** Rounds after which everything is healed so that the run always makes some progress. */
const QUIET_EVERY = 20;

class RandomRun {
  private readonly acknowledged = new Map<number, string>();
  private readonly refused: string[] = [];
  private proposals = 0;
  private reads = 0;
  private readonly ids: string[];
  private readonly faults: RandomFaults;

  constructor(
    private readonly cluster: RaftCluster,
    ids: readonly string[],
  ) {
    this.ids = [...ids];
    this.faults = new RandomFaults(cluster, this.ids);
  }

  async run(rounds: number): Promise<RandomRunResult> {
    const { cluster } = this;
    for (let round = 1; round <= rounds; round += 1) {
      await this.act(round % QUIET_EVERY === 0);
      await cluster.runFor(cluster.random.nextInteger(1, LONGEST_STEP));
    }
    await this.faults.healAll();
    await cluster.leader(this.ids);
    await cluster.converge(this.ids);
    this.check();
    return {
      violations: cluster.violations,
      acknowledged: this.acknowledged.size,
      refused: this.refused.length,
      reads: this.reads,
      crashes: this.faults.crashes,
      replacements: this.faults.replacements,
    };
  }

  private async act(quiet: boolean): Promise<void> {
    const { cluster } = this;
    const { random } = cluster;
    if (quiet) {
      await this.faults.healAll();
      await this.cluster.runFor(3_000);
    }
    for (let count = random.nextInteger(0, 6); count > 0; count -= 1) this.propose();
    if (random.nextInteger(0, 2) === 0) this.read();
    if (random.nextInteger(0, 13) === 0) await this.crashLeaderAfterProposing();
    else await this.faults.act();
  }

  private propose(id = this.faults.anyId()): void {
    const { node } = this.cluster.member(id);
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
    const id = this.faults.anyId();
    const { node, state } = this.cluster.member(id);
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

  /** The records may have reached some members, some disks, or none. */
  private async crashLeaderAfterProposing(): Promise<void> {
    const leaderId = this.faults.leaderId();
    if (leaderId === undefined) return;
    for (let count = 0; count < 3; count += 1) this.propose(leaderId);
    await this.cluster.runFor(this.cluster.random.nextInteger(1, 12));
    this.faults.crashLeader();
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
