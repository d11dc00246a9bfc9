/** Whether a request to one service is offered to its replicas, and when its caller may come back. */
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
    sendDeadline: sendDeadline,
    deadline: request.deadline,
    now: environment.clock.now(),
  };
}

/** See the module comment. Of one request. */
export class SingleAdmission {
  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly service: string,
    /** Until when the request may wait for an offer. Clock reading. */
    private readonly sendDeadline: number,
  ) {}

  /** Why it is refused at once; undefined when it is offered. */
  get refusal(): string | undefined {
    return this.context.mechanisms.expectedWait ? refusalReason(this.query) : undefined;
  }

  /** When its caller may come back; undefined where nothing is known of it. Milliseconds. */
  get retryAfterMs(): number | undefined {
    if (!this.context.mechanisms.expectedWait) return undefined;
    const { query, service } = this;
    const { targets, medianLatency: medianLatency, deadline, now } = query;
    const availableIn = shortestBusyWait(query);
    if (availableIn === undefined) return undefined;
    const rate = targets.reduce(
      (sum, target) => sum + 1 / slotInterval(target, medianLatency, now),
      0,
    );
    const timing = {
      service,
      now,
      availableIn: availableIn,
      interval: 1 / rate,
      remaining: deadline - now,
    };
    return this.context.retrySchedule.next(timing);
  }

  private get query(): WaitQuery {
    return waitQuery(this.context, this.request, this.service, this.sendDeadline);
  }
}
