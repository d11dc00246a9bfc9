/** Who belongs to the group. Part of the history: each change is a record of the log. */
import { MessageType, type MessageOf } from './message-type.js';

/** Most members, learners included. */
const MAXIMUM_MEMBERS = 64;
/** Most member ids that are remembered as used up. */
const MAXIMUM_RETIRED_IDS = 4_096;

const memberType = new MessageType('Member', {
  memberId: 'string',
  /** `host:port` for internal messages. */
  address: 'string',
  /** Of the one data folder with which this member may take part. */
  incarnation: 'string',
  voter: 'boolean',
  /** Removed; its id is never used again. */
  retired: 'boolean',
});
type StoredMember = MessageOf<typeof memberType extends MessageType<infer F> ? F : never>;

/** One member. */
export interface Member {
  readonly memberId: string;
  /** `host:port` for internal messages. */
  readonly address: string;
  /** Of the one data folder with which this member may take part. */
  readonly incarnation: string;
  readonly voter: boolean;
}

/** An immutable set of members. */
export class Membership {
  static readonly EMPTY = new Membership([], []);

  constructor(
    readonly members: readonly Member[],
    /** Ids of removed members, never to be used again. */
    readonly retiredIds: readonly string[],
  ) {}

  /** @throws RangeError when the bytes are no membership. */
  static decode(bytes: Uint8Array): Membership {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const stored = memberType.decodeAll(buffer, MAXIMUM_MEMBERS + MAXIMUM_RETIRED_IDS);
    const members = stored.filter(({ retired }) => !retired);
    const retired = stored.filter(({ retired: isRetired }) => isRetired);
    return new Membership(
      members.map(({ memberId, address, incarnation, voter }) => ({
        memberId,
        address,
        incarnation,
        voter,
      })),
      retired.map(({ memberId }) => memberId),
    );
  }

  encode(): Uint8Array {
    const current = this.members.map((member): StoredMember => ({ ...member, retired: false }));
    const retired = this.retiredIds.map((memberId): StoredMember => ({
      memberId,
      address: '',
      incarnation: '',
      voter: false,
      retired: true,
    }));
    return memberType.encodeAll([...current, ...retired]);
  }

  get voters(): readonly Member[] {
    return this.members.filter(({ voter }) => voter);
  }

  find(memberId: string): Member | undefined {
    return this.members.find((member) => member.memberId === memberId);
  }

  isVoter(memberId: string): boolean {
    return this.find(memberId)?.voter === true;
  }

  /** Votes or copies that make a majority. */
  get quorum(): number {
    return Math.floor(this.voters.length / 2) + 1;
  }

  /**
   * The highest value that a majority of the voters has reached, given each
   * voter's own.
   */
  quorumValue(valueOf: (memberId: string) => number): number {
    const values = this.voters.map(({ memberId }) => valueOf(memberId));
    values.sort((left, right) => right - left);
    return values[this.quorum - 1] ?? -Infinity;
  }

  withMember(member: Member): Membership {
    const others = this.members.filter(({ memberId }) => memberId !== member.memberId);
    return new Membership([...others, member], this.retiredIds);
  }

  withoutMember(memberId: string): Membership {
    return new Membership(
      this.members.filter((member) => member.memberId !== memberId),
      [...this.retiredIds, memberId].slice(-MAXIMUM_RETIRED_IDS),
    );
  }
}

/** Log fields that tell who votes, who does not, and how many votes make a majority. */
export function describeMembers({ members, quorum }: Membership): {
  readonly voters: string;
  readonly learners: string;
  readonly quorum: number;
} {
  const idsOf = (isVoter: boolean): string =>
    members
      .filter(({ voter }) => voter === isVoter)
      .map(({ memberId }) => memberId)
      .join(' ');
  return { voters: idsOf(true), learners: idsOf(false), quorum };
}
