/**
 * Asks every shard of a route and merges what comes back. All shards are those
 * of the one version of the routes that the request began with.
 */
import type { HttpResponse } from '../seams/http.js';
import type { Timer } from '../seams/clock.js';
import type { CallerRequest } from './caller-request.js';
import { CALLER_GONE, TIME_UP, UNOFFERED_PART } from './forward-single.js';
import { GatewayRefusal, refuse } from './gateway-answers.js';
import type { GatewayContext } from './gateway-context.js';
import { mergeRecords } from './merge-records.js';
import type { ReplicaAnswer } from './attempt-result.js';
import { ReplicaRace } from './replica-race.js';
import { targetLatencyOf } from './route-latencies.js';

/** Time before the target at which an answer must leave, to arrive within it. Milliseconds. */
const ANSWER_MARGIN_MS = 12;
/** The margin is at most this part of the target. */
const ANSWER_MARGIN_PART = 0.3;
/** After this part of the target, late shards are looked at once more. */
const HEDGE_AGAIN_PART = 0.15;
/** Shards whose replicas could not take the request are tried again within this part of it. */
const RETRY_PART = 0.6;
/** Absorbs what fractions such as 0.89 lose in binary. */
const ROUNDING = 1e-9;

/** One fan-out in progress. */
export class FanOut {
  private readonly races: ReplicaRace[] = [];
  private readonly parts = new Map<string, ReplicaAnswer>();
  private readonly timers: Timer[] = [];
  private failed = 0;
  private isPastCutOff = false;
  private isDone = false;
  private resolve!: (response: HttpResponse) => void;
  private readonly onGone = (): void => this.giveUp(GatewayRefusal.Failed, CALLER_GONE);

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly shards: readonly string[],
  ) {}

  /** Resolves with the final answer, at the request's deadline at the latest. */
  run(): Promise<HttpResponse> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      if (this.reachable < this.required) {
        this.giveUp(GatewayRefusal.NotRun, 'too few shards have a replica');
        return;
      }
      if (!this.isAdmitted) {
        this.giveUp(GatewayRefusal.NotRun, 'the replicas are overloaded');
        return;
      }
      this.request.signal.addEventListener('abort', this.onGone, { once: true });
      this.startTimers();
      this.startRaces();
    });
  }

  private get isAdmitted(): boolean {
    const { mechanisms, shedding } = this.context;
    return (
      !mechanisms.shedding || shedding.admits(this.shards[0] ?? '', this.request.route.priority)
    );
  }

  /** Shards that an answer must hold. */
  private get required(): number {
    const coverage = this.request.route.requiredCoverage ?? 1;
    return Math.max(1, Math.ceil(coverage * this.shards.length - ROUNDING));
  }

  /** Shards of which any replica is known. */
  private get reachable(): number {
    return this.shards.filter((shard) => this.context.targets.of(shard).length > 0).length;
  }

  private startTimers(): void {
    const { clock } = this.context.environment;
    const { receivedAt, deadline, route } = this.request;
    const target = targetLatencyOf(route);
    const margin = Math.min(ANSWER_MARGIN_MS, target * ANSWER_MARGIN_PART);
    const elapsed = clock.now() - receivedAt;
    const { hedgeDelay } = this.context.latencies.of(route);
    const { secondHedge, cutOff } = this.context.mechanisms;
    if (secondHedge) {
      // For those that found no room or no budget the first time.
      const delay = hedgeDelay + target * HEDGE_AGAIN_PART;
      this.timers.push(clock.setTimer(delay, () => this.hedge()));
    }
    if (cutOff) {
      const rest = Math.max(0, target - margin - elapsed);
      this.timers.push(clock.setTimer(rest, () => this.cutOff()));
    }
    this.timers.push(
      clock.setTimer(hedgeDelay, () => this.hedge()),
      clock.setTimer(target * UNOFFERED_PART, () => this.refuseUnoffered()),
      clock.setTimer(deadline - clock.now(), () => this.timeOut()),
    );
  }

  private startRaces(): void {
    const latency = this.context.latencies.of(this.request.route);
    const target = targetLatencyOf(this.request.route);
    const retryUntil = this.request.receivedAt + target * RETRY_PART;
    const onEnd = (race: ReplicaRace): void => this.take(race);
    for (const shard of this.shards) {
      this.races.push(
        new ReplicaRace(this.context, this.request, shard, latency, onEnd, retryUntil),
      );
    }
    for (const race of this.races) {
      if (this.isDone) return;
      race.start();
    }
  }

  private hedge(): void {
    for (const race of this.races) {
      if (race.hedge()) this.context.metrics.hedges.inc();
    }
  }

  /** From here on an answer that is good enough is worth more than the wait for the rest. */
  private cutOff(): void {
    this.isPastCutOff = true;
    this.judge();
  }

  private refuseUnoffered(): void {
    const isOffered = this.races.some((race) => race.sends > 0);
    if (!isOffered) this.giveUp(GatewayRefusal.NotRun, 'no replica has room');
  }

  private timeOut(): void {
    if (this.parts.size >= this.required) this.answer();
    else this.giveUp(GatewayRefusal.TimedOut, TIME_UP);
  }

  private take(race: ReplicaRace): void {
    if (this.isDone || race.outcome === undefined) return;
    if (race.outcome.kind === 'answered') this.parts.set(race.service, race.outcome.answer);
    else this.failed += 1;
    this.judge();
  }

  private judge(): void {
    if (this.isDone) return;
    const total = this.shards.length;
    const isEnough = this.parts.size >= this.required;
    const isComplete = this.parts.size + this.failed === total;
    if (isEnough && (isComplete || this.isPastCutOff)) this.answer();
    else if (total - this.failed < this.required) {
      this.giveUp(GatewayRefusal.Failed, 'too many shards failed');
    }
  }

  private answer(): void {
    const { partSignatures, missingParts, requestId, signature } = this.context.headers;
    const answers = [...this.parts.values()];
    const missing = this.shards.length - answers.length;
    const signatures = answers.map(({ headers }) => headers[signature] ?? '');
    const { topRecords = 0 } = this.request.route;
    const body = mergeRecords(
      answers.map((answer) => answer.body),
      topRecords,
    );
    const headers = {
      'content-type': 'application/octet-stream',
      [requestId]: this.request.id,
      [partSignatures]: signatures.join(', '),
      [missingParts]: String(missing),
    };
    this.finish({ status: 200, headers, body }, 'enough parts are in');
  }

  private giveUp(refusal: GatewayRefusal, reason: string): void {
    if (this.isDone) return;
    const mayRun = this.races.some((race) => race.mayRun || race.outcome?.kind === 'answered');
    const response = mayRun ? refuse(refusal, reason) : refuse(GatewayRefusal.NotRun, reason);
    this.finish(response, reason);
  }

  private finish(response: HttpResponse, reason: string): void {
    this.isDone = true;
    for (const timer of this.timers) timer.cancel();
    this.request.signal.removeEventListener('abort', this.onGone);
    for (const race of this.races) race.cancel(reason);
    const missing = this.races.filter(({ service }) => !this.parts.has(service));
    this.context.decisions.fannedOut(this.request, {
      status: response.status,
      reason,
      shards: this.shards.length,
      missing: this.shards.length - this.parts.size,
      sends: this.races.reduce((sum, race) => sum + race.sends, 0),
      missingRaces: missing,
    });
    this.resolve(response);
  }
}
