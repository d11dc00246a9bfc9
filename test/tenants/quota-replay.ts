/** Simulates gateways, quota owners and the messages between them in virtual time, without a network. */
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import type { QuotaSettings } from '../../src/configuration/tenant-settings.js';
import type { Clock } from '../../src/seams/clock.js';
import { computeQuotaBounds } from '../../src/tenants/quota-bounds.js';
import { QuotaClient } from '../../src/tenants/quota-client.js';
import type { QuotaDecisionPath } from '../../src/tenants/quota-decision-path.js';
import { packRequests, packResponse } from '../../src/tenants/quota-frames.js';
import {
  CALLER_BYTES,
  QUOTA_CODEC,
  type QuotaMessage,
  type TokenRequest,
} from '../../src/tenants/quota-messages.js';
import { QuotaOwner } from '../../src/tenants/quota-owner.js';
import type { QuotaDecision } from '../../src/tenants/tenant-quota.js';
import type { Tenant } from '../../src/tenants/tenant.js';
import { TokenBucket } from '../../src/tenants/token-bucket.js';

export const SETTINGS: QuotaSettings = { windowMs: 5_000, overrun: 0.1, slack: 20 };
/** One-way delay between gateways and owners: the minimum and the random part on top of it. */
const MINIMUM_DELAY_MS = 0.4;
const DELAY_SPREAD_MS = 1;
const RESPONSE_TIMEOUT_MS = 600;
const EXPIRY_INTERVAL_MS = 100;

/** The decision on one request. Times are in milliseconds. */
export interface Outcome {
  readonly tenant: string;
  readonly gateway: number;
  /** Identity of the request; a retry has that of the request that was refused. */
  readonly caller: string;
  /** 1 for the first request of the caller, higher for its retries. */
  readonly attempt: number;
  readonly at: number;
  decidedAt: number;
  isAdmitted: boolean;
  retryAfterMs: number;
  path: QuotaDecisionPath | undefined;
  waited: boolean;
}

interface ReplayedRequest {
  readonly tenant: string;
  readonly gateway: number;
  readonly caller: string;
  readonly attempt: number;
  /** Time after which its token is returned because it ran nowhere. */
  readonly givenBackAfterMs?: number | undefined;
}

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A binary heap of events, ordered by time and then by insertion. */
class EventQueue {
  private readonly heap: ScheduledEvent[] = [];
  private order = 0;

  add(at: number, run: () => void): void {
    this.heap.push({ at, order: (this.order += 1), run });
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) break;
      this.swap(index, parent);
      index = parent;
    }
  }

  take(until: number): ScheduledEvent | undefined {
    const [first] = this.heap;
    if (first === undefined || first.at > until) return undefined;
    const last = this.heap.pop() as ScheduledEvent;
    if (this.heap.length > 0) this.sink(last);
    return first;
  }

  private sink(event: ScheduledEvent): void {
    this.heap[0] = event;
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.heap.length && this.isBefore(child, least)) least = child;
      }
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(left: number, right: number): boolean {
    const one = this.heap[left] as ScheduledEvent;
    const other = this.heap[right] as ScheduledEvent;
    return one.at < other.at || (one.at === other.at && one.order < other.order);
  }

  private swap(left: number, right: number): void {
    const event = this.heap[left] as ScheduledEvent;
    this.heap[left] = this.heap[right] as ScheduledEvent;
    this.heap[right] = event;
  }
}

interface ReplayGateway {
  client: QuotaClient;
  owner: number | undefined;
  /** Incremented on each disconnect; responses of an earlier connection are dropped. */
  connectionNumber: number;
  isRoundInFlight: boolean;
  isExpiring: boolean;
}

/** A fleet of gateways with one or more owners; deterministic for a seed. */
export class QuotaReplay {
  readonly outcomes: Outcome[] = [];
  frames = 0;
  bytes = 0;
  readonly tenants = new Map<string, Tenant>();
  readonly owners: QuotaOwner[] = [];
  private readonly stopped = new Set<number>();
  private readonly events = new EventQueue();
  private readonly random;
  private readonly clock: Clock;
  private readonly gateways: ReplayGateway[] = [];
  private lastPath: QuotaDecisionPath | undefined;
  private callers = 0;
  /** Called when a request is refused, at the time of the decision. */
  onRefused: (outcome: Outcome) => void = () => undefined;
  private now = 0;

  /** The number of gateways that controllers report to the gateways. */
  countGateways = (): number | undefined => this.gatewayCount;

  constructor(
    readonly gatewayCount: number,
    readonly seed: number,
    readonly settings: QuotaSettings = SETTINGS,
  ) {
    this.random = seededRandom(seed, 'replay');
    const unused = (): never => {
      throw new Error('the quota client and owner must not use timers or the wall clock');
    };
    this.clock = { now: () => this.now, wallTime: unused, setTimer: unused, sleep: unused };
    for (let index = 0; index < gatewayCount; index += 1) this.startGateway(index);
  }

  /** Applies a limit at all gateways and owners at once. */
  setLimit(name: string, requestsPerSecond: number, burst: number): void {
    this.tenants.set(name, { name, requestsPerSecond, burst });
  }

  /** Creates an owner and returns its index; {@link connect} connects gateways to it. */
  startOwner(): number {
    const owner = new QuotaOwner({
      clock: this.clock,
      settings: this.settings,
      findTenant: (name) => this.tenants.get(name),
      onLimitReached: () => undefined,
    });
    return this.owners.push(owner) - 1;
  }

  /** Stops an owner from responding; its gateways detect that by the response timeout. */
  stopOwner(owner: number): void {
    this.stopped.add(owner);
  }

  /** Starts or restarts the process of a gateway, without an owner. */
  startGateway(index: number): void {
    const gateway: ReplayGateway = {
      client: new QuotaClient({
        clock: this.clock,
        random: seededRandom(this.seed, `gateway-${index}-${this.now}`),
        settings: this.settings,
        countGateways: () => this.countGateways(),
        onRequestQueued: () => this.handleRequestQueued(gateway),
        onDecision: (path) => (this.lastPath = path),
      }),
      owner: undefined,
      connectionNumber: 0,
      isRoundInFlight: false,
      isExpiring: false,
    };
    this.gateways[index] = gateway;
  }

  connect(index: number, owner: number): void {
    const gateway = this.gateways[index] as ReplayGateway;
    if (gateway.owner !== undefined) this.disconnect(index);
    gateway.owner = owner;
    gateway.client.handleConnected();
    this.startRound(gateway);
  }

  connectAll(owner: number): void {
    for (let index = 0; index < this.gatewayCount; index += 1) this.connect(index, owner);
  }

  disconnect(index: number): void {
    const gateway = this.gateways[index] as ReplayGateway;
    this.dropConnection(gateway);
  }

  schedule(time: number, run: () => void): void {
    this.events.add(time, run);
  }

  /**
   * Schedules a request. With `givenBackAfterMs` it runs nowhere, and its token is returned after
   * that time.
   */
  request(at: number, tenant: string, gateway: number, givenBackAfterMs?: number): void {
    const caller = this.nextCaller();
    this.events.add(at, () => this.take({ tenant, gateway, caller, attempt: 1, givenBackAfterMs }));
  }

  /** Schedules the retry of a refused request at a gateway for its retry time. */
  retry({ tenant, caller, attempt, decidedAt, retryAfterMs }: Outcome, gateway: number): void {
    const request = { tenant, gateway, caller, attempt: attempt + 1 };
    this.events.add(decidedAt + retryAfterMs, () => this.take(request));
  }

  /** Schedules Poisson arrivals with a rate per second at gateways that `pick` chooses. */
  addPoissonLoad(
    tenant: string,
    perSecond: number,
    from: number,
    until: number,
    pick = (): number => this.random.nextInteger(0, this.gatewayCount - 1),
  ): void {
    let at = from;
    for (;;) {
      at += (-Math.log(1 - this.random.nextFloat()) / perSecond) * 1_000;
      if (at >= until) return;
      this.request(at, tenant, pick());
    }
  }

  async runUntil(until: number): Promise<void> {
    for (;;) {
      const event = this.events.take(until);
      if (event === undefined) break;
      this.now = event.at;
      event.run();
      // Lets promises settle, so that their decisions are recorded before time advances.
      await Promise.resolve();
      await Promise.resolve();
    }
    this.now = until;
  }

  private nextCaller(): string {
    this.callers += 1;
    return this.callers.toString(16).padStart(CALLER_BYTES * 2, '0');
  }

  private take({ tenant, gateway: index, givenBackAfterMs, ...request }: ReplayedRequest): void {
    const gateway = this.gateways[index] as ReplayGateway;
    const limits = this.tenants.get(tenant) as Tenant;
    const { now } = this;
    const outcome: Outcome = {
      tenant,
      gateway: index,
      ...request,
      at: now,
      decidedAt: now,
      isAdmitted: false,
      retryAfterMs: 0,
      path: undefined,
      waited: false,
    };
    this.outcomes.push(outcome);
    const decided = (decision: QuotaDecision): void => {
      outcome.decidedAt = this.now;
      outcome.isAdmitted = decision.isAdmitted && givenBackAfterMs === undefined;
      outcome.retryAfterMs = decision.isAdmitted ? 0 : decision.retryAfterMs;
      outcome.path = this.lastPath;
      if (!decision.isAdmitted) this.onRefused(outcome);
      if (!decision.isAdmitted || givenBackAfterMs === undefined) return;
      const takenAt = this.now;
      this.schedule(takenAt + givenBackAfterMs, () => gateway.client.returnToken(limits, takenAt));
    };
    const decision = gateway.client.take(limits, Infinity, request.caller);
    if (!(decision instanceof Promise)) {
      decided(decision);
      return;
    }
    outcome.waited = true;
    void decision.then(decided);
  }

  private handleRequestQueued(gateway: ReplayGateway): void {
    if (!gateway.isExpiring) this.scheduleExpiry(gateway);
    // The quota link sends asynchronously, in a task of its own.
    this.schedule(this.now, () => this.startRound(gateway));
  }

  private scheduleExpiry(gateway: ReplayGateway): void {
    gateway.isExpiring = true;
    this.schedule(this.now + EXPIRY_INTERVAL_MS, () => {
      gateway.client.expireWaiting(EXPIRY_INTERVAL_MS);
      gateway.isExpiring = false;
      if (gateway.client.hasWaiting) this.scheduleExpiry(gateway);
    });
  }

  private startRound(gateway: ReplayGateway): void {
    const { owner, connectionNumber, client } = gateway;
    if (owner === undefined || gateway.isRoundInFlight || !client.hasRequests) return;
    const requests = client.takeRequests();
    if (requests.length === 0) return;
    gateway.isRoundInFlight = true;
    this.countFrame(packRequests(requests));
    this.schedule(this.now + this.delay(), () =>
      this.deliverRound(gateway, owner, connectionNumber, requests),
    );
    this.schedule(this.now + RESPONSE_TIMEOUT_MS, () => {
      if (
        gateway.connectionNumber === connectionNumber &&
        gateway.isRoundInFlight &&
        this.stopped.has(owner)
      )
        this.dropConnection(gateway);
    });
  }

  private deliverRound(
    gateway: ReplayGateway,
    owner: number,
    connectionNumber: number,
    requests: readonly TokenRequest[],
  ): void {
    const respondingOwner = this.owners[owner];
    if (this.stopped.has(owner) || respondingOwner === undefined) return;
    const { collectingMs } = respondingOwner;
    if (collectingMs > 0) {
      // As the quota server does.
      for (const request of requests) respondingOwner.restoreReservations(request);
      this.schedule(this.now + collectingMs, () =>
        this.deliverRound(gateway, owner, connectionNumber, requests),
      );
      return;
    }
    const responses = requests.map((request) => respondingOwner.handleRequest(request));
    this.countFrame(
      responses.flatMap((response, index) =>
        packResponse(response, requests[index] as TokenRequest),
      ),
    );
    this.schedule(this.now + this.delay(), () => {
      if (gateway.connectionNumber !== connectionNumber) return;
      gateway.isRoundInFlight = false;
      for (const response of responses) gateway.client.handleResponse(response);
      gateway.client.endRound();
      this.startRound(gateway);
    });
  }

  private dropConnection(gateway: ReplayGateway): void {
    gateway.connectionNumber += 1;
    gateway.owner = undefined;
    gateway.isRoundInFlight = false;
    gateway.client.handleDisconnected();
  }

  private countFrame(messages: readonly QuotaMessage[]): void {
    this.frames += 1;
    this.bytes += QUOTA_CODEC.encodeBatch([{ kind: 'round', round: 1 }, ...messages]).length;
  }

  private delay(): number {
    return MINIMUM_DELAY_MS + this.random.nextFloat() * DELAY_SPREAD_MS;
  }
}

/** Requests that a limit allows in any window, including the tolerance. */
export function allowedInWindow({ requestsPerSecond, burst }: Tenant, settings = SETTINGS): number {
  const { windowMs, overrun, slack } = settings;
  return ((requestsPerSecond * windowMs) / 1_000 + burst) * (1 + overrun) + slack;
}

/**
 * The largest number of admitted requests in a window that ends with one, and the number of such
 * windows.
 */
export function busiestWindow(
  outcomes: readonly Outcome[],
  tenant: string,
  { windowMs }: QuotaSettings = SETTINGS,
  from = -Infinity,
): { readonly most: number; readonly windows: number } {
  const times = outcomes
    .filter((outcome) => outcome.tenant === tenant && outcome.isAdmitted)
    .map(({ decidedAt }) => decidedAt)
    .filter((time) => time >= from)
    .sort((left, right) => left - right);
  let first = 0;
  let most = 0;
  for (const [index, time] of times.entries()) {
    while ((times[first] as number) <= time - windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return { most, windows: times.length };
}

/** Number of requests that a single token bucket with the exact limit admits. */
export function admittedByLimit(outcomes: readonly Outcome[], tenant: Tenant): number {
  const bucket = exactBucket(tenant);
  const ofTenant = outcomes.filter((outcome) => outcome.tenant === tenant.name);
  return ofTenant.filter(({ at }) => bucket.take(1, 0, at) === 1).length;
}

/**
 * Number of wrongly refused requests: those for which a token bucket with the exact limit, charged
 * with every admitted request of the tenant, still had a token.
 */
export function refusedBelowLimit(outcomes: readonly Outcome[], tenant: Tenant): number {
  const bucket = exactBucket(tenant);
  const ofTenant = outcomes
    .filter((outcome) => outcome.tenant === tenant.name)
    .sort((left, right) => left.decidedAt - right.decidedAt);
  let refused = 0;
  for (const { isAdmitted, decidedAt } of ofTenant) {
    if (isAdmitted) bucket.charge(1, decidedAt);
    else if (bucket.msUntil(1, decidedAt) === 0) refused += 1;
  }
  return refused;
}

function exactBucket(tenant: Tenant): TokenBucket {
  const capacity = Math.max(1, tenant.burst);
  return new TokenBucket({ ...computeQuotaBounds(tenant, SETTINGS), capacity }, 0, capacity);
}
