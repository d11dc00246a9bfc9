/**
 * Attempts that were given up by closing their connection. Their replica may work on, and end
 * under them, and no connection shows it: when the replica is found lost for another reason,
 * they are remembered as what it may have worked on.
 */
import type { Clock } from '../seams/clock.js';
import { RecentMap } from './recent-map.js';

/** Longest time that a replica is taken to work on after its caller has gone. Milliseconds. */
const MAXIMUM_TRACKED_MS = 2_000;
const MAXIMUM_REPLICAS = 2_048;
const MAXIMUM_ATTEMPTS_PER_REPLICA = 16;

/** What was asked in an abandoned attempt. */
export interface RequestIdentity {
  readonly fingerprint: string;
  readonly description: string;
}

/** One attempt that was given up. */
export interface AbandonedAttempt {
  readonly request: RequestIdentity;
  /** It was the only sending of a suspected request. */
  readonly isTrial: boolean;
}

interface TrackedAttempt extends AbandonedAttempt {
  readonly expiresAt: number;
}

/** See the module comment. */
export class AbandonedAttempts {
  private readonly byReplica = new RecentMap<string, readonly TrackedAttempt[]>(MAXIMUM_REPLICAS);

  constructor(private readonly clock: Clock) {}

  /** The attempt was given up; `leftMs` is what its replica was told that it has. */
  record(replicaId: string, attempt: AbandonedAttempt, leftMs: number): void {
    const until = this.clock.now() + Math.min(Math.max(leftMs, 0), MAXIMUM_TRACKED_MS);
    const watched = [...this.unexpired(replicaId), { ...attempt, until }];
    this.byReplica.set(replicaId, watched.slice(-MAXIMUM_ATTEMPTS_PER_REPLICA));
  }

  /** The replica was found lost: what it may have been working on, which is then forgotten. */
  takeAll(replicaId: string): readonly AbandonedAttempt[] {
    const watched = this.unexpired(replicaId);
    this.byReplica.delete(replicaId);
    return watched.map(({ request, isTrial }) => ({ request, isTrial }));
  }

  private unexpired(replicaId: string): readonly TrackedAttempt[] {
    const now = this.clock.now();
    return (this.byReplica.get(replicaId) ?? []).filter(({ expiresAt: until }) => until > now);
  }
}
