/** Decides when a daemon must leave the controller that it follows. */
import type { SessionEnd } from './session-end.js';
import type { HeartbeatMessage } from './stream-messages.js';
import { QUORUM_LEASE_MS, SOURCE_SILENCE_MS, WELCOME_TIMEOUT_MS } from './stream-timing.js';
import { TransitDelay } from './transit-delay.js';

/** Observations of the source in one session. All times are readings of the daemon's own clock. */
export class SourceWatch {
  private lastReceivedAt: number;
  private quorumAt: number;
  private openedAt: number;
  /** When the source proved itself fresh; heartbeats written earlier do not reflect the proof. */
  private provenAt = Number.NEGATIVE_INFINITY;
  private behindSince: number | undefined;
  private receivingSnapshot = false;
  private transitDelay: TransitDelay | undefined;

  constructor(
    now: number,
    /** Clock reading until which a source that is stale or behind is tolerated. */
    private readonly staleUntil: number,
  ) {
    this.lastReceivedAt = now;
    this.quorumAt = now;
    this.openedAt = now;
  }

  get isWelcomed(): boolean {
    return this.transitDelay !== undefined;
  }

  /** Must be called when the handshake is complete. */
  recordOpened(now: number): void {
    this.lastReceivedAt = now;
    this.quorumAt = now;
    this.openedAt = now;
  }

  recordWelcome(sourceTime: number, provenFresh: boolean, now: number): void {
    // The proof began after the subscription, which was sent after the connection opened.
    if (provenFresh) this.provenAt = this.openedAt;
    this.transitDelay = new TransitDelay(sourceTime, now);
  }

  /** Must be called for each received frame. */
  recordReceived(now: number): void {
    this.lastReceivedAt = now;
  }

  /**
   * Must be called when a snapshot is announced. Heartbeats may queue behind its
   * chunks, so only silence is a reason to leave until it has arrived.
   */
  recordSnapshotBegin(): void {
    this.receivingSnapshot = true;
  }

  recordSnapshotEnd(now: number): void {
    this.receivingSnapshot = false;
    this.quorumAt = now;
  }

  /** Returns the clock reading at which a quorum last confirmed that the source was up to date. */
  recordHeartbeat({ sinceQuorumMs, sourceTime }: HeartbeatMessage, now: number): number {
    const delay = this.transitDelay?.delayOf(sourceTime, now) ?? 0;
    this.quorumAt = Math.max(this.provenAt, now - delay - sinceQuorumMs);
    return this.quorumAt;
  }

  /** Tracks since when the source has been at a lower revision than the daemon. */
  compareRevisions(heldRevision: number, committedRevision: number, now: number): void {
    if (heldRevision <= committedRevision) this.behindSince = undefined;
    else this.behindSince ??= now;
  }

  /** The reason to leave the source at `now`, or undefined to stay. */
  reasonToLeave(now: number): SessionEnd | undefined {
    const silenceTimeoutMs = this.isWelcomed ? SOURCE_SILENCE_MS : WELCOME_TIMEOUT_MS;
    if (now - this.lastReceivedAt > silenceTimeoutMs) return 'silent';
    if (this.receivingSnapshot) return undefined;
    const cutOff = now - this.quorumAt > QUORUM_LEASE_MS;
    if (cutOff && now > this.staleUntil) return 'cut_off';
    const behindFor = this.behindSince === undefined ? 0 : now - this.behindSince;
    if (behindFor > SOURCE_SILENCE_MS && now > this.staleUntil) return 'behind';
    return undefined;
  }
}
