/**
 * Confirms to gateways which version of the route document is in force. An answer follows a read
 * barrier that began after the question came: what a controller believes by itself may be older
 * than what others have acknowledged. Questions of many gateways share a barrier, and barriers
 * begin at a bounded rate, so that a thousand gateways cost the leader little.
 */
import { Counter, type Registry } from 'prom-client';
import type { Clock } from '../seams/clock.js';
import { NO_DOCUMENT, type VersionConfirmedMessage } from './directory-messages.js';

/** Barriers begin at least so far apart. Milliseconds. */
export const CONFIRMATION_INTERVAL_MS = 50;

/** What answers are made of. */
export interface VersionConfirmerParts {
  readonly clock: Clock;
  readonly barrier: { pass(): Promise<boolean> };
  /** Of the route document here; undefined before the first. */
  readonly version: () => number | undefined;
  readonly registry: Registry;
}

/** A question that waits for a barrier. */
interface PendingRequest {
  readonly number: number;
  readonly answer: (message: VersionConfirmedMessage) => void;
}

/** See the module comment. */
export class VersionConfirmer {
  private readonly confirmations: Counter<'result'>;
  private pending: PendingRequest[] = [];
  private isScheduled = false;
  private lastBarrierAt = -Infinity;

  constructor(private readonly parts: VersionConfirmerParts) {
    this.confirmations = new Counter({
      name: 'driftway_controller_version_confirmations_total',
      help: 'Questions of gateways for the version of the route document in force; unproven: no quorum confirmed in time.',
      labelNames: ['result'],
      registers: [parts.registry],
    });
  }

  /** Calls `answer` once it is proven which version is in force; never when that fails. */
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
