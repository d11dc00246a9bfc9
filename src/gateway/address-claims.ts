/**
 * Which replica holds each address. A crashed replica may still be registered, or be registered by a
 * delayed heartbeat, after another one has taken over its address. The replica that registered last
 * holds it until an answer from the address shows which one is there.
 */
import type { ReplicaTarget } from './replica-target.js';

/** Time in which answers to requests may confirm a new holder before the address is checked. */
const CONFIRMATION_MS = 1_000;
/** Interval after the first check; doubles with each one. */
const CHECK_INTERVAL_MS = 1_500;
const MAXIMUM_CHECK_INTERVAL_MS = 60_000;

/** What a check of a contested address showed. */
export enum AddressCheckResult {
  /** The replica that registered last is there. */
  Confirmed = 'confirmed',
  /** A replica that registered earlier is there. */
  GivenBack = 'given_back',
  /** No response named a replica that is registered there. */
  Undecided = 'undecided',
}

/** An address whose holder is unconfirmed while replicas that registered there earlier have not left. */
export class ContestedAddress {
  /** Checks since the last registration at this address. */
  private checks = 0;
  private nextCheckAt: number;

  constructor(
    readonly address: string,
    /** Undefined once the holder has left. */
    readonly holder: ReplicaTarget | undefined,
    /** In the order of their registration. */
    readonly earlier: readonly ReplicaTarget[],
    now: number,
  ) {
    this.nextCheckAt = now + CONFIRMATION_MS;
  }

  isCheckDue(now: number): boolean {
    return now >= this.nextCheckAt;
  }

  /** Records a check and returns how many there were before. */
  recordCheck(now: number): number {
    const interval = CHECK_INTERVAL_MS * 2 ** this.checks;
    this.nextCheckAt = now + Math.min(interval, MAXIMUM_CHECK_INTERVAL_MS);
    return this.checks++;
  }
}

/** The holders of all addresses. */
export class AddressClaims {
  private readonly holders = new Map<string, ReplicaTarget>();
  private readonly contests = new Map<string, ContestedAddress>();

  /** Addresses whose holder no answer has confirmed. */
  contested(): Iterable<ContestedAddress> {
    return this.contests.values();
  }

  /** Makes the replica the holder of its address; returns the former holder. */
  register(target: ReplicaTarget, now: number): ReplicaTarget | undefined {
    const { address } = target;
    const former = this.holders.get(address);
    this.holders.set(address, target);
    const earlier = [...this.earlierAt(address), ...(former === undefined ? [] : [former])];
    this.contest(address, earlier, now);
    return former;
  }

  /** Ends the contest over the replica's address if the replica, which answered there, holds it. */
  confirm(target: ReplicaTarget): void {
    const contest = this.contests.get(target.address);
    if (contest?.holder === target) this.contests.delete(target.address);
  }

  /**
   * Ends a contest: the replica with this id answered a check. Returns the replica that holds the
   * address now; undefined if no replica with this id is registered there, or another one registered
   * since the check.
   */
  decide(contest: ContestedAddress, replicaId: string): ReplicaTarget | undefined {
    const { address, holder, earlier } = contest;
    if (this.contests.get(address) !== contest) return undefined;
    const hasId = ({ entry }: ReplicaTarget): boolean => entry.replicaId === replicaId;
    const winner = holder !== undefined && hasId(holder) ? holder : earlier.find(hasId);
    if (winner === undefined) return undefined;
    this.holders.set(address, winner);
    this.contests.delete(address);
    return winner;
  }

  /**
   * Takes the address from its holder, as another replica answered there; returns the one that had
   * registered before, which holds it now.
   */
  revoke(target: ReplicaTarget, now: number): ReplicaTarget | undefined {
    const { address } = target;
    if (this.holders.get(address) !== target) return undefined;
    const earlier = [...this.earlierAt(address)];
    const next = earlier.pop();
    if (next === undefined) return undefined;
    this.holders.set(address, next);
    this.contest(address, earlier, now);
    return next;
  }

  /** Forgets a replica that has left or was removed. */
  remove(target: ReplicaTarget, now: number): void {
    const { address } = target;
    if (this.holders.get(address) === target) this.holders.delete(address);
    const earlier = this.earlierAt(address);
    if (earlier.length === 0) return;
    const rest = earlier.filter((other) => other !== target);
    this.contest(address, rest, now);
  }

  clear(): void {
    this.holders.clear();
    this.contests.clear();
  }

  private earlierAt(address: string): readonly ReplicaTarget[] {
    return this.contests.get(address)?.earlier ?? [];
  }

  private contest(address: string, earlier: readonly ReplicaTarget[], now: number): void {
    if (earlier.length === 0) {
      this.contests.delete(address);
      return;
    }
    const contest = new ContestedAddress(address, this.holders.get(address), earlier, now);
    this.contests.set(address, contest);
  }
}
