/**
 * Decides whether a request to a single service is sent to its replicas, and when a refused caller
 * may retry.
 */
import type { CallerRequest } from './caller-request.js';
import { shortestBusyWait, refusalReason, slotInterval, type WaitQuery } from './expected-wait.js';
import type { GatewayContext } from './gateway-context.js';

function waitQuery(
  context: GatewayContext,
  request: CallerRequest,
  service: string,
  sendDeadline: number,
): WaitQuery {
  const { environment, latencies, regions, targets } = context;
  return {
    targets: regions.permitted(request.route, targets.of(service)),
    medianLatency: latencies.of(request.route).median,
    sendDeadline,
    deadline: request.deadline,
    now: environment.clock.now(),
  };
}

/** Admission of one request. */
export class SingleAdmission {
  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly service: string,
    /** Until when the request may wait to be sent. Clock reading. */
    private readonly sendDeadline: number,
  ) {}

  /** Why the request is refused immediately; undefined if it is admitted. */
  get refusal(): string | undefined {
    return this.context.mechanisms.expectedWait ? refusalReason(this.query) : undefined;
  }

  /** Delay after which the caller may retry; undefined if it can't be estimated. Milliseconds. */
  get retryAfterMs(): number | undefined {
    if (!this.context.mechanisms.expectedWait) return undefined;
    const { query, service } = this;
    const { targets, medianLatency, deadline, now } = query;
    const availableIn = shortestBusyWait(query);
    if (availableIn === undefined) return undefined;
    const rate = targets.reduce(
      (sum, target) => sum + 1 / slotInterval(target, medianLatency, now),
      0,
    );
    const timing = { service, now, availableIn, interval: 1 / rate, remaining: deadline - now };
    return this.context.retrySchedule.next(timing);
  }

  private get query(): WaitQuery {
    return waitQuery(this.context, this.request, this.service, this.sendDeadline);
  }
}
