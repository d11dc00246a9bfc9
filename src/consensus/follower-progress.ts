/** What a leader knows of one other member. */
import { Notifier } from './notifier.js';
import type { Clock } from '../seams/clock.js';

/** Mutable; one for each other member and term of leadership. */
export class FollowerProgress {
  /** Last index known to be durable there and to agree. */
  matchIndex = 0;
  /** The member holds no snapshot at all. */
  needsSnapshot = false;
  /** Commit index it was last told together with records. */
  sentCommitIndex = 0;
  /** Last read round it confirmed. */
  confirmedRound = 0;
  /** Its clock as it last told, with the session that clock belongs to. */
  peerTime = 0;
  peerSession = '';
  /** Wakes the task that sends records. */
  readonly recordsWanted: Notifier;
  /** Wakes the task that sends heartbeats. */
  readonly heartbeatWanted: Notifier;
  private readonly controller = new AbortController();

  constructor(
    readonly memberId: string,
    clock: Clock,
    /** Next index to send. */
    public nextIndex: number,
    /** When the last request that it answered was sent. */
    public confirmedAt: number,
  ) {
    this.recordsWanted = new Notifier(clock);
    this.heartbeatWanted = new Notifier(clock);
  }

  /** Aborts when the leadership ends or the member is removed. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  end(): void {
    this.controller.abort(new Error('no longer followed'));
    this.recordsWanted.close();
    this.heartbeatWanted.close();
  }
}
