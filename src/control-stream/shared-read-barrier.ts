/**
 * Shares read barriers between concurrent callers. A barrier that has already
 * begun proves nothing about commits made since, so callers that arrive
 * meanwhile share the next one.
 */
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import type { Clock } from '../seams/clock.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import { PROOF_TIMEOUT_MS } from './stream-timing.js';

/** Runs the read barriers of one controller, one at a time. */
export class SharedReadBarrier {
  private running: Promise<boolean> | undefined;
  private next: Promise<boolean> | undefined;

  constructor(
    private readonly log: Pick<ReplicatedLog, 'readBarrier'>,
    private readonly clock: Clock,
    private readonly faults: ControlStreamFaults,
    /** Time after which a barrier counts as failed. Milliseconds. */
    private readonly timeoutMs = PROOF_TIMEOUT_MS,
  ) {}

  /**
   * Resolves with whether everything committed before the call is now applied
   * here; false if the barrier fails or times out. Never rejects.
   */
  pass(): Promise<boolean> {
    if (this.faults.skipFreshnessProof === true) return Promise.resolve(true);
    if (this.running === undefined) return this.begin();
    this.next ??= this.running.then(() => {
      this.next = undefined;
      return this.begin();
    });
    return this.next;
  }

  private begin(): Promise<boolean> {
    const attempt = this.attempt().finally(() => {
      if (this.running === attempt) this.running = undefined;
    });
    this.running = attempt;
    return attempt;
  }

  private attempt(): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(this.timeoutMs, () => resolve(false));
      const finish = (proven: boolean): void => {
        timer.cancel();
        resolve(proven);
      };
      this.log.readBarrier().then(
        () => finish(true),
        () => finish(false),
      );
    });
  }
}
