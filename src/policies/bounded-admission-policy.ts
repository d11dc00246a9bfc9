/** A fixed number of requests at work and a bounded first-come queue behind them. */
import type { Clock, Timer } from '../seams/clock.js';
import type {
  AdmissionPolicy,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionTicket,
} from './admission-policy.js';

/** When to come back if nothing better is known. Milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Limits of {@link BoundedAdmissionPolicy}. */
export interface BoundedAdmissionOptions {
  readonly maximumInFlight: number;
  readonly queueLimit: number;
}

/** A request that waits for a place. */
interface Waiter {
  /** Ends the wait; later calls do nothing. */
  settle(outcome: AdmissionTicket | AdmissionRefusal): void;
}

function refusal(reason: string): AdmissionRefusal {
  return { reason, retryAfter: RETRY_AFTER_MS };
}

/** Refuses at once when the queue is full, and when a deadline passes in the queue. */
export class BoundedAdmissionPolicy implements AdmissionPolicy {
  private inFlight = 0;
  /** In order of arrival. */
  private readonly waiters = new Set<Waiter>();

  constructor(
    private readonly options: BoundedAdmissionOptions,
    private readonly clock: Clock,
  ) {}

  admit(request: AdmissionRequest): Promise<AdmissionTicket | AdmissionRefusal> {
    if (request.signal.aborted) return Promise.resolve(refusal('caller is gone'));
    if (request.remaining <= 0) return Promise.resolve(refusal('deadline has passed'));
    if (this.inFlight < this.options.maximumInFlight) return Promise.resolve(this.issueTicket());
    if (this.waiters.size >= this.options.queueLimit) {
      return Promise.resolve(refusal('queue is full'));
    }
    return this.enqueue(request);
  }

  private enqueue(request: AdmissionRequest): Promise<AdmissionTicket | AdmissionRefusal> {
    return new Promise((resolve) => {
      const onAbort = (): void => waiter.settle(refusal('caller is gone'));
      const timer: Timer = this.clock.setTimer(request.remaining, () =>
        waiter.settle(refusal('deadline passed in the queue')),
      );
      const waiter: Waiter = {
        settle: (outcome) => {
          this.waiters.delete(waiter);
          timer.cancel();
          request.signal.removeEventListener('abort', onAbort);
          resolve(outcome);
        },
      };
      this.waiters.add(waiter);
      request.signal.addEventListener('abort', onAbort, { once: true });
    });
  }

  private issueTicket(): AdmissionTicket {
    this.inFlight += 1;
    return {
      release: () => {
        this.inFlight -= 1;
        this.admitNext();
      },
    };
  }

  private admitNext(): void {
    const [next] = this.waiters;
    if (next !== undefined) next.settle(this.issueTicket());
  }
}
