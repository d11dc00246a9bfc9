/** Decides when a daemon has to leave the controller that it follows. */
import type { SessionEnd } from './session-end.js';
import type { HeartbeatMessage } from './stream-messages.js';
import { QUORUM_LEASE_MS, SOURCE_SILENCE_MS, WELCOME_TIMEOUT_MS } from './stream-timing.js';
import { TransitDelay } from './transit-delay.js';

/** What one session saw of its source. Times are of the daemon's own clock. */
export class SourceWatch {
  private lastReceivedAt: number;
  private quorumAt: number;
  private openedAt: number;
  /** When the source proved itself fresh; a heartbeat written before may not know of it. */
  private provenAt = Number.NEGATIVE_INFINITY;
  private behindSince: number | undefined;
  private receivingSnapshot = false;
  private transitDelay: TransitDelay | undefined;

  constructor(
    now: number,
    /** Until then a source without a quorum is not left. */
    private readonly staleUntil: number,
  ) {
    this.lastReceivedAt = now;
    this.quorumAt = now;
    this.openedAt = now;
  }

  get isWelcomed(): boolean {
    return this.transitDelay !== undefined;
  }

  /** The handshake is done. */
  recordOpened(now: number): void {
    this.lastReceivedAt = now;
    this.quorumAt = now;
    this.openedAt = now;
  }

  recordWelcome(sourceTime: number, provenFresh: boolean, now: number): void {
    // The proof began after the subscription, which followed the opening.
    if (provenFresh) this.provenAt = this.openedAt;
    this.transitDelay = new TransitDelay(sourceTime, now);
  }

  /** Anything arrived. */
  recordReceived(now: number): void {
    this.lastReceivedAt = now;
  }

  /**
   * A configuration is under way. Heartbeats may queue behind it, so that only
   * silence counts until it has arrived.
   */
  recordSnapshotBegin(): void {
    this.receivingSnapshot = true;
  }

  recordSnapshotEnd(now: number): void {
    this.receivingSnapshot = false;
    this.quorumAt = now;
  }

  /** Returns when a quorum last confirmed that the source lacked nothing. */
  recordHeartbeat({ sinceQuorumMs, sourceTime }: HeartbeatMessage, now: number): number {
    const delay = this.transitDelay?.delayOf(sourceTime, now) ?? 0;
    this.quorumAt = Math.max(this.provenAt, now - delay - sinceQuorumMs);
    return this.quorumAt;
  }

  /** Compares the daemon's revision with its source's. */
  compareRevisions(heldRevision: number, committedRevision: number, now: number): void {
    if (heldRevision <= committedRevision) this.behindSince = undefined;
    else this.behindSince ??= now;
  }

  /** Why to leave now, if at all. */
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
