/** The memberships that the log holds, by the index from which each is in force. */
import { Membership } from './membership.js';

interface MembershipAt {
  readonly index: number;
  readonly membership: Membership;
}

/** Memberships since the snapshot, oldest first. Never empty once a base is set. */
export class MembershipHistory {
  private entries: MembershipAt[] = [];

  /** The newest membership in the log, committed or not: the one that counts for quorums. */
  get latest(): Membership {
    return this.entries.at(-1)?.membership ?? Membership.EMPTY;
  }

  /** Index of the record that brought {@link MembershipHistory.latest}. */
  get latestIndex(): number {
    return this.entries.at(-1)?.index ?? 0;
  }

  /** The membership in force after the record at `index`. */
  at(index: number): Membership {
    const entry = this.entries.findLast((candidate) => candidate.index <= index);
    return entry?.membership ?? Membership.EMPTY;
  }

  add(index: number, membership: Membership): void {
    this.entries.push({ index, membership });
  }

  /** Forgets memberships of records from `index` on, which were replaced. */
  truncateFrom(index: number): void {
    this.entries = this.entries.filter((entry) => entry.index < index);
  }

  /** Makes `membership` the oldest one; later ones stay. */
  rebase(index: number, membership: Membership): void {
    const later = this.entries.filter((entry) => entry.index > index);
    this.entries = [{ index, membership }, ...later];
  }
}
