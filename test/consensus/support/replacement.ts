/** Does what an operator does after the loss of a disk, again and again until it is done. */
import { MembershipChangeRefusedError } from '../../../src/consensus/consensus-errors.js';
import type { RaftNode } from '../../../src/consensus/raft-node.js';
import { ErrorLabel } from '../../../src/errors/driftway-error.js';
import type { RaftCluster } from './raft-cluster.js';

/** Milliseconds. */
const PAUSE = 300;
/** After which the process that was asked must have died. Milliseconds. */
const LONGEST_CHANGE = 30_000;

/** Learner added, promoted, old member removed. */
export class Replacement {
  done = false;
  private number = 1;
  private starting = false;
  private lastRefusal = 'no refusal';

  constructor(
    private readonly cluster: RaftCluster,
    private readonly ids: readonly string[],
    readonly lostId: string,
  ) {
    this.repeat();
  }

  /** Other than any id before. */
  get newId(): string {
    return `${this.lostId}${this.number}`;
  }

  describe(): string {
    const statuses = [...this.cluster.members].map(
      ([id, { node }]) => `${id} ${JSON.stringify(node?.status())}`,
    );
    return `${this.lostId} by ${this.newId}: ${this.lastRefusal}\n${statuses.join('\n')}`;
  }

  private repeat(): void {
    void this.cluster
      .pause(PAUSE)
      .then(() => this.step())
      .then(() => {
        if (!this.done) this.repeat();
      });
  }

  /** The next step, as the member that leads sees the group. */
  private async step(): Promise<void> {
    if (this.cluster.member(this.newId).node === undefined) this.startNew();
    const leader = [...this.ids, this.newId]
      .map((id) => this.cluster.member(id).node)
      .find((node) => node?.status().role === 'leader');
    if (leader === undefined) return;
    try {
      await Promise.race([this.change(leader), this.cluster.pause(LONGEST_CHANGE)]);
    } catch (error) {
      this.onRefused(error);
    }
  }

  private async change(leader: RaftNode): Promise<void> {
    const { members } = leader.status();
    const added = members.find(({ memberId }) => memberId === this.newId);
    const known = [...this.ids, this.newId];
    const stray = members.find(({ memberId }) => !known.includes(memberId));
    if (stray !== undefined) await leader.remove(stray.memberId);
    else if (added === undefined) {
      await leader.addLearner(this.newId, this.cluster.addressOf(this.newId));
    } else if (!added.voter) await leader.promote(this.newId);
    else {
      await leader.remove(this.lostId);
      this.done = true;
    }
  }

  /** A folder with history that the group does not know is of no more use; nor is a used id. */
  private onRefused(error: unknown): void {
    this.lastRefusal = String(error);
    const wrong =
      error instanceof MembershipChangeRefusedError && error.hasLabel(ErrorLabel.BadInput);
    if (!wrong) return;
    this.cluster.crash(this.newId);
    this.number += 1;
    this.starting = false;
  }

  private startNew(): void {
    if (this.starting) return;
    this.starting = true;
    const { newId } = this;
    const starting = this.cluster.begin(newId, { join: true });
    const settle = (): void => {
      this.starting = false;
    };
    starting.then(settle, settle);
  }
}
