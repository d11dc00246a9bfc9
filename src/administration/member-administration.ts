/** Changes of the controllers' group, one at a time. Implemented over the Raft node. */

export interface MemberAdministration {
  /** Adds a member that receives the history and does not vote. */
  addLearner(memberId: string, address: string): Promise<void>;
  /** Lets a learner that has caught up vote. */
  promote(memberId: string): Promise<void>;
  /** Removes a member; its id is never used again. */
  remove(memberId: string): Promise<void>;
}
