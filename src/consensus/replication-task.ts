/**
 * Sends records, or a snapshot, from a leader to one member. One message is
 * under way at a time and carries everything that gathered since the last one:
 * this batches under load and is the flow control.
 */
import type { FollowerProgress } from './follower-progress.js';
import type { Leadership } from './leadership.js';
import type { MemberState } from './member-state.js';
import type { ResponseOf } from './messages.js';
import type { PeerLink } from './peer-link.js';
import type { PeerLinks } from './peer-links.js';
import { encodeRecords } from './record-transfer.js';

/** The parts of one leader's work for one member. */
class Replication {
  constructor(
    private readonly state: MemberState,
    private readonly leadership: Leadership,
    private readonly link: PeerLink,
    private readonly follower: FollowerProgress,
  ) {}

  /** Does the next thing there is to do, or waits for one. */
  async step(): Promise<void> {
    const { state, follower } = this;
    if (follower.needsSnapshot || follower.nextIndex <= state.log.baseIndex) {
      await this.sendSnapshot();
      return;
    }
    const upToDate =
      follower.matchIndex >= state.log.lastIndex && follower.sentCommitIndex >= state.commitIndex;
    if (upToDate) await follower.recordsWanted.wait(Infinity);
    else await this.sendRecords();
  }

  private async sendRecords(): Promise<void> {
    const { state, follower } = this;
    const { limits, timings } = state.dependencies;
    const previousIndex = follower.nextIndex - 1;
    const previousTerm = state.log.termAt(previousIndex);
    if (previousTerm === undefined) {
      follower.nextIndex = Math.min(previousIndex, state.log.lastIndex) + 1;
      return;
    }
    const records = state.log.slice(follower.nextIndex, limits.maximumAppendBytes);
    const { commitIndex } = state;
    const request = {
      term: this.leadership.term,
      leaderId: state.memberId,
      previousIndex,
      previousTerm,
      commitIndex,
      records: encodeRecords(records),
    };
    const response = await this.link.request('append', request, timings.replicationTimeout);
    if (await this.isDeposedBy(response.term)) return;
    if (response.accepted) this.onAccepted(response, commitIndex);
    else this.onRejected(response, previousIndex);
  }

  private onAccepted(response: ResponseOf<'append'>, commitIndex: number): void {
    const { follower } = this;
    follower.matchIndex = Math.max(follower.matchIndex, response.matchIndex);
    follower.nextIndex = follower.matchIndex + 1;
    follower.sentCommitIndex = commitIndex;
    this.leadership.advanceCommit();
    this.leadership.progressChanged.notify();
  }

  private onRejected(response: ResponseOf<'append'>, previousIndex: number): void {
    const { follower } = this;
    follower.needsSnapshot = response.needsSnapshot;
    // Never below what the member is known to hold, always below what it just refused.
    const suggested = Math.min(response.nextIndex, previousIndex);
    follower.nextIndex = Math.max(1, follower.matchIndex + 1, suggested);
  }

  private async sendSnapshot(): Promise<void> {
    const { state, follower, leadership } = this;
    const { limits, timings, storage } = state.dependencies;
    const { snapshot } = storage;
    if (snapshot === undefined) return;
    let offset = 0;
    let installed = false;
    while (!installed && !follower.signal.aborted) {
      const data = snapshot.data.subarray(offset, offset + limits.snapshotChunkBytes);
      const request = {
        term: leadership.term,
        leaderId: state.memberId,
        index: snapshot.index,
        snapshotTerm: snapshot.term,
        membership: Buffer.from(snapshot.membership),
        totalBytes: snapshot.data.length,
        offset,
        data: Buffer.from(data),
      };
      const response = await this.link.request('snapshot', request, timings.replicationTimeout);
      if (await this.isDeposedBy(response.term)) return;
      installed = response.installed;
      offset = Math.min(response.nextOffset, snapshot.data.length);
    }
    if (!installed) return;
    follower.needsSnapshot = false;
    follower.matchIndex = Math.max(follower.matchIndex, snapshot.index);
    follower.nextIndex = follower.matchIndex + 1;
    leadership.advanceCommit();
  }

  /** Steps down when the member has seen a higher term. True when the answer no longer counts. */
  private async isDeposedBy(term: number): Promise<boolean> {
    const { state, leadership } = this;
    if (term > leadership.term) await state.runExclusive(() => state.adoptTerm(term));
    return this.follower.signal.aborted;
  }
}

/** Runs until the member is no longer followed. */
export async function replicateToFollower(
  state: MemberState,
  leadership: Leadership,
  links: PeerLinks,
  follower: FollowerProgress,
): Promise<void> {
  const { timings } = state.dependencies;
  while (!follower.signal.aborted) {
    const link = links.find(follower.memberId);
    try {
      if (link !== undefined) {
        await new Replication(state, leadership, link, follower).step();
        continue;
      }
    } catch {
      // The link counts the failure; the next message dials again.
    }
    await follower.recordsWanted.wait(timings.redialInterval);
  }
}
