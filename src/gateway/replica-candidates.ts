/** Tracks which replicas of a service one request may still be sent to, and chooses among them. */
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReplicaTarget } from './replica-target.js';
import { targetLatencyOf } from './route-latencies.js';
import type { RouteLatency } from './route-latency.js';

/** Lower bound of the time that is taken to be left, as a fraction of the target latency. */
const MINIMUM_TIME_LEFT_FRACTION = 0.1;

/** Inputs of the choice that are fixed for a race. */
export interface ReplicaCandidatesOptions {
  readonly service: string;
  readonly latency: RouteLatency;
  /** Fraction of the request's value that is lost if this service's answer is late; at most 1. */
  readonly valueFraction: number;
}

/** Candidate replicas of one race. */
export class ReplicaCandidates {
  /**
   * Replicas excluded from further attempts, some of them only until
   * {@link ReplicaCandidates.readmitNotRun}.
   */
  private readonly tried = new Set<ReplicaTarget>();
  private readonly notRunBy = new Set<ReplicaTarget>();

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly options: ReplicaCandidatesOptions,
  ) {}

  /**
   * Whether waiting for capacity can help. Without a known replica it can't, except at a gateway
   * that has just started and is still discovering replicas.
   */
  get mayBecomeAvailable(): boolean {
    return this.permitted.length > 0 || this.context.targets.isDiscovering;
  }

  /** Chooses the best replica that was not tried; undefined if none is available. */
  choose(): ReplicaTarget | undefined {
    return this.chooseExcept(this.tried);
  }

  /**
   * Chooses a replica for a trial, preferably one without another trial: if a replica with two
   * trials crashed, both requests would count as the cause. Falls back to `target`.
   */
  chooseForTrial(target: ReplicaTarget): ReplicaTarget {
    if (target.trialsInFlight === 0) return target;
    const onTrial = this.permitted.filter(({ trialsInFlight }) => trialsInFlight > 0);
    return this.chooseExcept(new Set([...this.tried, ...onTrial])) ?? target;
  }

  /** Excludes a replica that the request is being sent to. */
  markTried(target: ReplicaTarget): void {
    this.tried.add(target);
  }

  /** Marks a replica that did not run the request and may be tried again after a delay. */
  markNotRun(target: ReplicaTarget): void {
    this.notRunBy.add(target);
  }

  /** Makes the replicas that did not run the request available again. */
  readmitNotRun(): void {
    for (const target of this.notRunBy) this.tried.delete(target);
    this.notRunBy.clear();
  }

  /** Usable replicas of the service in the regions that the route permits. */
  private get permitted(): readonly ReplicaTarget[] {
    const { targets, regions } = this.context;
    return regions.permitted(this.request.route, targets.of(this.options.service));
  }

  /**
   * Time until the answer stops being of full use: until the cut-off where parts are merged. Overdue
   * attempts are chosen as if a little were left, so that their costs stay comparable. Milliseconds.
   */
  private get timeLeft(): number {
    const { answerMargin, environment } = this.context;
    const { route, receivedAt } = this.request;
    const target = targetLatencyOf(route);
    const usefulMs = route.shards === undefined ? target : answerMargin.cutOffDelay(target);
    const leftMs = receivedAt + usefulMs - environment.clock.now();
    return Math.max(leftMs, target * MINIMUM_TIME_LEFT_FRACTION);
  }

  private chooseExcept(excluded: ReadonlySet<ReplicaTarget>): ReplicaTarget | undefined {
    const { choice, shares } = this.context;
    const { table } = this.request;
    const { service, latency, valueFraction } = this.options;
    return choice.choose({
      targets: this.permitted,
      excluded,
      medianLatency: latency.median,
      timeLeft: this.timeLeft,
      valueFraction,
      maximumInFlight: shares.maximumInFlight(table, service),
      coldSendInterval: shares.coldSendInterval(table, service),
    });
  }
}
