/** Whether a request to one service is offered to its replicas, and when its caller may come back. */
import type { CallerRequest } from './caller-request.js';
import { expectedRoom, refusalReason, slotTime, type RoomQuery } from './expected-wait.js';
import type { GatewayContext } from './gateway-context.js';

function roomQuery(
  context: GatewayContext,
  request: CallerRequest,
  service: string,
  offeredBy: number,
): RoomQuery {
  const { environment, latencies, regions, targets } = context;
  return {
    targets: regions.permitted(request.route, targets.of(service)),
    usualLatency: latencies.of(request.route).usual,
    offeredBy,
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
    private readonly offeredBy: number,
  ) {}

  /** Why it is refused at once; undefined when it is offered. */
  get refusal(): string | undefined {
    return this.context.mechanisms.expectedWait ? refusalReason(this.query) : undefined;
  }

  /** When its caller may come back; undefined where nothing is known of it. Milliseconds. */
  get retryAfterMs(): number | undefined {
    if (!this.context.mechanisms.expectedWait) return undefined;
    const { query, service } = this;
    const { targets, usualLatency, deadline, now } = query;
    const room = expectedRoom(query);
    if (room === undefined) return undefined;
    const rate = targets.reduce((sum, target) => sum + 1 / slotTime(target, usualLatency, now), 0);
    const turn = { service, now, room, interval: 1 / rate, remaining: deadline - now };
    return this.context.retryTimes.next(turn);
  }

  private get query(): RoomQuery {
    return roomQuery(this.context, this.request, this.service, this.offeredBy);
  }
}
