/** Changes of the group, one member at a time. Sent in words. */
export enum MembershipAction {
  /** Adds a member that gets records but has no vote. */
  AddLearner = 'add_learner',
  /** Gives a learner that caught up a vote. */
  Promote = 'promote',
  /** Takes a member out; its id is never used again. */
  Remove = 'remove',
}

/** One change, as asked for. */
export interface MembershipChange {
  readonly action: MembershipAction;
  readonly memberId: string;
  /** `host:port`; used when a learner is added. */
  readonly address: string;
}
