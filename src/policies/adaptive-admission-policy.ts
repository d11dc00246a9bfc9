/**
 * Admits as many requests at once as the back ends are learned to take, and
 * queues the rest fairly between teams. A request that would wait longer than
 * its deadline allows is refused when it comes, with the time to come back.
 */
import type { Clock, Timer } from '../seams/clock.js';
import type {
  AdmissionPolicy,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionTicket,
} from './admission-policy.js';
import { AdaptiveConcurrencyLimit } from './adaptive-concurrency-limit.js';
import { TeamQueue } from './team-queue.js';

/** Most of the time to its deadline that a request may wait in the queue. */
const MAXIMUM_WAIT_FRACTION = 0.1;
/** Shortest time after which a refused caller is told to come back. Milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 100;

/** Bounds of {@link AdaptiveAdmissionPolicy}. */
export interface AdaptiveAdmissionOptions {
  /** The learned limit never exceeds this. */
  readonly maximumInFlight: number;
  readonly queueLimit: number;
}

/** A request that waits for a place. */
interface Waiter {
  /** Ends the wait; later calls do nothing. */
  settle(outcome: AdmissionTicket | AdmissionRefusal): void;
}

/** See the module comment. */
export class AdaptiveAdmissionPolicy implements AdmissionPolicy {
  private readonly limit: AdaptiveConcurrencyLimit;
  private readonly queue = new TeamQueue<Waiter>();
  private inFlight = 0;

  constructor(
    private readonly options: AdaptiveAdmissionOptions,
    private readonly clock: Clock,
  ) {
    this.limit = new AdaptiveConcurrencyLimit(options.maximumInFlight);
  }

  admit(request: AdmissionRequest): Promise<AdmissionTicket | AdmissionRefusal> {
    const { signal, remaining, team } = request;
    if (signal.aborted) return Promise.resolve(this.refusal('caller is gone'));
    if (remaining <= 0) return Promise.resolve(this.refusal('deadline has passed'));
    if (this.hasCapacity) return Promise.resolve(this.issueTicket());
    if (this.expectedWait(this.queue.countAhead(team)) > remaining * MAXIMUM_WAIT_FRACTION) {
      return Promise.resolve(this.refusal('the queue is too long for the deadline'));
    }
    return this.enqueue(request);
  }

  private get hasCapacity(): boolean {
    return this.inFlight < this.limit.value;
  }

  /** Until a request with so many ahead is admitted, by Little's law. Milliseconds. */
  private expectedWait(ahead: number): number {
    return ((ahead + 1) * this.limit.meanLatency) / this.limit.value;
  }

  private enqueue({
    team,
    remaining,
    signal,
  }: AdmissionRequest): ReturnType<AdmissionPolicy['admit']> {
    return new Promise((resolve) => {
      const onAbort = (): void => waiter.settle(this.refusal('caller is gone'));
      const timer: Timer = this.clock.setTimer(remaining * MAXIMUM_WAIT_FRACTION, () =>
        waiter.settle(this.refusal('waited too long for the deadline')),
      );
      const waiter: Waiter = {
        settle: (outcome) => {
          this.queue.delete(team, waiter);
          timer.cancel();
          signal.removeEventListener('abort', onAbort);
          resolve(outcome);
        },
      };
      this.queue.add(team, waiter);
      signal.addEventListener('abort', onAbort, { once: true });
      this.enforceQueueLimit();
    });
  }

  /** Makes room at the cost of whoever has most in the queue. */
  private enforceQueueLimit(): void {
    if (this.queue.size <= this.options.queueLimit) return;
    this.queue.removeNewestOfLongest()?.settle(this.refusal('queue is full'));
  }

  private issueTicket(): AdmissionTicket {
    this.inFlight += 1;
    return {
      release: (served) => {
        this.limit.record(served, this.inFlight, this.clock.now());
        this.inFlight -= 1;
        this.admitNext();
      },
    };
  }

  private admitNext(): void {
    while (this.hasCapacity) {
      const next = this.queue.dequeue();
      if (next === undefined) return;
      next.settle(this.issueTicket());
    }
  }

  private refusal(reason: string): AdmissionRefusal {
    const retryAfter = Math.max(MINIMUM_RETRY_AFTER_MS, this.expectedWait(this.queue.size));
    return { reason, retryAfter: Math.ceil(retryAfter) };
  }
}
