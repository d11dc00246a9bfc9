/**
 * Attempts that were abandoned by closing their connection. Their replica may continue to run
 * them and crash, which no connection then reports. When the replica's loss is detected in
 * another way, its abandoned attempts are the requests that it may have been running.
 */
import type { Clock } from '../seams/clock.js';
import { RecentMap } from './recent-map.js';

/** Longest time for which a replica is assumed to run an abandoned attempt. Milliseconds. */
const MAXIMUM_TRACKED_MS = 2_000;
const MAXIMUM_REPLICAS = 2_048;
const MAXIMUM_ATTEMPTS_PER_REPLICA = 16;

/** The request of an attempt: its fingerprint, and a description for operators. */
export interface RequestIdentity {
  readonly fingerprint: string;
  readonly description: string;
}

/** An attempt that was abandoned without an answer. */
export interface AbandonedAttempt {
  readonly request: RequestIdentity;
  /** Whether the attempt was a trial of a suspected request. */
  readonly isTrial: boolean;
}

interface TrackedAttempt extends AbandonedAttempt {
  /** Clock reading. Milliseconds. */
  readonly expiresAt: number;
}

/** Bounded in replicas and in attempts per replica. */
export class AbandonedAttempts {
  private readonly byReplica = new RecentMap<string, readonly TrackedAttempt[]>(MAXIMUM_REPLICAS);

  constructor(private readonly clock: Clock) {}

  /** Records an abandoned attempt; `leftMs` is the time to the deadline that its replica received. */
  record(replicaId: string, attempt: AbandonedAttempt, leftMs: number): void {
    const expiresAt = this.clock.now() + Math.min(Math.max(leftMs, 0), MAXIMUM_TRACKED_MS);
    const attempts = [...this.unexpired(replicaId), { ...attempt, expiresAt }];
    this.byReplica.set(replicaId, attempts.slice(-MAXIMUM_ATTEMPTS_PER_REPLICA));
  }

  /** Removes and returns the attempts that a lost replica may have been running. */
  takeAll(replicaId: string): readonly AbandonedAttempt[] {
    const attempts = this.unexpired(replicaId);
    this.byReplica.delete(replicaId);
    return attempts.map(({ request, isTrial }) => ({ request, isTrial }));
  }

  private unexpired(replicaId: string): readonly TrackedAttempt[] {
    const now = this.clock.now();
    return (this.byReplica.get(replicaId) ?? []).filter(({ expiresAt }) => expiresAt > now);
  }
}
