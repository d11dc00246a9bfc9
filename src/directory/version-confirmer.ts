/**
 * Confirms to gateways which version of the route document is in force. Each response follows a read
 * barrier that began after the request arrived, because a controller's own state may be older than
 * what other controllers have acknowledged. Requests of many gateways share a barrier, and barriers
 * begin at a bounded rate, so that a thousand gateways cost the leader little.
 */
import { Counter, type Registry } from 'prom-client';
import type { Clock } from '../seams/clock.js';
import { NO_DOCUMENT, type VersionConfirmedMessage } from './directory-messages.js';

/** Minimum interval between the starts of two barriers. Milliseconds. */
export const CONFIRMATION_INTERVAL_MS = 50;

/** Dependencies of the confirmer. */
export interface VersionConfirmerParts {
  readonly clock: Clock;
  /** Resolves to false if no quorum confirmed the barrier in time. */
  readonly barrier: { pass(): Promise<boolean> };
  /** Version of this controller's route document; undefined before the first. */
  readonly version: () => number | undefined;
  readonly registry: Registry;
}

/** A request that waits for a barrier. */
interface PendingRequest {
  readonly number: number;
  readonly answer: (message: VersionConfirmedMessage) => void;
}

/** Registers its counter when constructed. */
export class VersionConfirmer {
  private readonly confirmations: Counter<'result'>;
  private pending: PendingRequest[] = [];
  private isScheduled = false;
  private lastBarrierAt = -Infinity;

  constructor(private readonly parts: VersionConfirmerParts) {
    this.confirmations = new Counter({
      name: 'driftway_controller_version_confirmations_total',
      help: 'Requests of gateways to confirm the version of the route document in force; unproven: no quorum confirmed it in time.',
      labelNames: ['result'],
      registers: [parts.registry],
    });
  }

  /** Calls `answer` once a barrier has proven which version is in force; never if the barrier fails. */
  requestConfirmation(number: number, answer: (message: VersionConfirmedMessage) => void): void {
    this.pending.push({ number, answer });
    if (this.isScheduled) return;
    this.isScheduled = true;
    const { clock } = this.parts;
    const pause = this.lastBarrierAt + CONFIRMATION_INTERVAL_MS - clock.now();
    if (pause > 0) clock.setTimer(pause, () => void this.confirm());
    else void this.confirm();
  }

  private async confirm(): Promise<void> {
    const requests = this.pending;
    this.pending = [];
    this.isScheduled = false;
    this.lastBarrierAt = this.parts.clock.now();
    const isProven = await this.parts.barrier.pass();
    this.confirmations.inc({ result: isProven ? 'confirmed' : 'unproven' }, requests.length);
    if (!isProven) return;
    const version = this.parts.version() ?? NO_DOCUMENT;
    for (const { number, answer } of requests)
      answer({ kind: 'versionConfirmed', number, version });
  }
}
