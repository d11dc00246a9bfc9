/** The replicas of one service that one request may still be sent to, and the choice among them. */
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReplicaTarget } from './replica-target.js';
import { targetLatencyOf } from './route-latencies.js';
import type { RouteLatency } from './route-latency.js';

/** What the choice goes by. */
export interface ReplicaCandidatesOptions {
  readonly service: string;
  readonly latency: RouteLatency;
  /** Part of the request's worth that is lost when this service does not answer in time; at most 1. */
  readonly valueFraction: number;
}

/** See the module comment. */
export class ReplicaCandidates {
  /** Replicas that are not asked again, or not before the next pause. */
  private readonly tried = new Set<ReplicaTarget>();
  private readonly notRunBy = new Set<ReplicaTarget>();

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly options: ReplicaCandidatesOptions,
  ) {}

  /** Where no replica is known, none will have room; only a gateway that has just started may learn of one. */
  get mayBecomeAvailable(): boolean {
    return this.permitted.length > 0 || this.context.targets.isDiscovering;
  }

  /** The best replica that was not asked; undefined when none can take it. */
  choose(): ReplicaTarget | undefined {
    return this.chooseExcept(this.tried);
  }

  /**
   * A replica for a trial, `target` where there is no better one: two requests that are tried on
   * one replica would both be blamed when it ends.
   */
  chooseForTrial(target: ReplicaTarget): ReplicaTarget {
    if (target.trialsInFlight === 0) return target;
    const onTrial = this.permitted.filter(
      ({ trialsInFlight: trialsInFlight }) => trialsInFlight > 0,
    );
    return this.chooseExcept(new Set([...this.tried, ...onTrial])) ?? target;
  }

  /** It is sent to the replica now, which is not chosen again. */
  markTried(target: ReplicaTarget): void {
    this.tried.add(target);
  }

  /** The replica did not run it, and may do so after a pause. */
  markNotRun(target: ReplicaTarget): void {
    this.notRunBy.add(target);
  }

  /** Replicas that did not run it may be chosen again. */
  readmitNotRun(): void {
    for (const target of this.notRunBy) this.tried.delete(target);
    this.notRunBy.clear();
  }

  /** Replicas that may get the request. */
  private get permitted(): readonly ReplicaTarget[] {
    const { targets, regions } = this.context;
    return regions.permitted(this.request.route, targets.of(this.options.service));
  }

  private chooseExcept(excluded: ReadonlySet<ReplicaTarget>): ReplicaTarget | undefined {
    const { choice, shares } = this.context;
    const { table, route } = this.request;
    const { service, latency, valueFraction: valueFraction } = this.options;
    return choice.choose({
      targets: this.permitted,
      excluded,
      medianLatency: latency.median,
      targetLatency: targetLatencyOf(route),
      valueFraction: valueFraction,
      maximumInFlight: shares.maximumInFlight(table, service),
      coldSendInterval: shares.coldSendInterval(table, service),
    });
  }
}
