/** Gateways, owners and the messages between them in virtual time, without a network. */
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import type { QuotaSettings } from '../../src/configuration/tenant-settings.js';
import type { Clock } from '../../src/seams/clock.js';
import { computeQuotaBounds } from '../../src/tenants/quota-bounds.js';
import { QuotaClient } from '../../src/tenants/quota-client.js';
import type { QuotaDecisionPath } from '../../src/tenants/quota-decision-path.js';
import {
  QUOTA_CODEC,
  type TokenRequestMessage,
  type QuotaMessage,
} from '../../src/tenants/quota-messages.js';
import { QuotaOwner } from '../../src/tenants/quota-owner.js';
import type { QuotaDecision } from '../../src/tenants/tenant-quota.js';
import type { Tenant } from '../../src/tenants/tenant.js';
import { TokenBucket } from '../../src/tenants/token-bucket.js';

export const SETTINGS: QuotaSettings = { windowMs: 5_000, overrun: 0.1, slack: 20 };
/** Between gateways and owners, one way, at least and at most. Milliseconds. */
const MINIMUM_DELAY_MS = 0.4;
const DELAY_SPREAD_MS = 1;
const RESPONSE_TIMEOUT_MS = 600;
const EXPIRY_INTERVAL_MS = 100;

/** A request as it was decided. Times are milliseconds. */
export interface Outcome {
  readonly tenant: string;
  readonly gateway: number;
  readonly at: number;
  decidedAt: number;
  isAdmitted: boolean;
  retryAfterMs: number;
  path: QuotaDecisionPath | undefined;
  waited: boolean;
}

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A binary heap by time, then by the order in which events were added. */
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
  /** Number of the connection: what belongs to an earlier one is dropped. */
  connectionNumber: number;
  isRoundInFlight: boolean;
  isExpiring: boolean;
}

/** See the module comment. */
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
  private now = 0;

  /** What gateways are told of their number. */
  countGateways = (): number | undefined => this.gatewayCount;

  constructor(
    readonly gatewayCount: number,
    readonly seed: number,
    readonly settings: QuotaSettings = SETTINGS,
  ) {
    this.random = seededRandom(seed, 'replay');
    const unused = (): never => {
      throw new Error('decisions have no timers');
    };
    this.clock = { now: () => this.now, wallTime: unused, setTimer: unused, sleep: unused };
    for (let index = 0; index < gatewayCount; index += 1) this.startGateway(index);
  }

  /** Puts a limit in force at all gateways and owners at once. */
  setLimit(name: string, requestsPerSecond: number, burst: number): void {
    this.tenants.set(name, { name, requestsPerSecond, burst });
  }

  /** A new owner; gateways are connected to it by {@link connect}. */
  startOwner(): number {
    const owner = new QuotaOwner({
      clock: this.clock,
      settings: this.settings,
      findTenant: (name) => this.tenants.get(name),
      onLimitReached: () => undefined,
    });
    return this.owners.push(owner) - 1;
  }

  /** Answers nothing any more; its gateways notice late. */
  stopOwner(owner: number): void {
    this.stopped.add(owner);
  }

  /** (Re)starts the process of a gateway, without an owner. */
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

  /** A request of the tenant. `runs`: false when it is given back after a while. */
  request(at: number, tenant: string, gateway: number, givenBackAfterMs?: number): void {
    this.events.add(at, () => this.take(tenant, gateway, givenBackAfterMs));
  }

  /** Poisson arrivals, a second, at gateways that `pick` chooses. */
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
      // Decisions that promises bring are noted before time goes on.
      await Promise.resolve();
      await Promise.resolve();
    }
    this.now = until;
  }

  private take(tenant: string, index: number, givenBackAfterMs?: number): void {
    const gateway = this.gateways[index] as ReplayGateway;
    const limits = this.tenants.get(tenant) as Tenant;
    const { now } = this;
    const outcome: Outcome = {
      tenant,
      gateway: index,
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
      if (!decision.isAdmitted || givenBackAfterMs === undefined) return;
      const takenAt = this.now;
      this.schedule(takenAt + givenBackAfterMs, () => gateway.client.returnToken(limits, takenAt));
    };
    const decision = gateway.client.take(limits);
    if (!(decision instanceof Promise)) {
      decided(decision);
      return;
    }
    outcome.waited = true;
    void decision.then(decided);
  }

  private handleRequestQueued(gateway: ReplayGateway): void {
    if (!gateway.isExpiring) this.scheduleExpiry(gateway);
    // The link sends from a task of its own.
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
    const { owner, connectionNumber: epoch, client } = gateway;
    if (owner === undefined || gateway.isRoundInFlight || !client.hasRequests) return;
    const requests = client.takeRequests();
    if (requests.length === 0) return;
    gateway.isRoundInFlight = true;
    this.countFrame(requests);
    this.schedule(this.now + this.delay(), () =>
      this.deliverRound(gateway, owner, epoch, requests),
    );
    this.schedule(this.now + RESPONSE_TIMEOUT_MS, () => {
      if (gateway.connectionNumber === epoch && gateway.isRoundInFlight && this.stopped.has(owner))
        this.dropConnection(gateway);
    });
  }

  private deliverRound(
    gateway: ReplayGateway,
    owner: number,
    epoch: number,
    requests: readonly TokenRequestMessage[],
  ): void {
    const respondingOwner = this.owners[owner];
    if (this.stopped.has(owner) || respondingOwner === undefined) return;
    const responses = requests.map((request) => respondingOwner.handleRequest(request));
    this.countFrame(responses);
    this.schedule(this.now + this.delay(), () => {
      if (gateway.connectionNumber !== epoch) return;
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

/** What the rule allows in a window. */
export function allowedInWindow({ requestsPerSecond, burst }: Tenant, settings = SETTINGS): number {
  const { windowMs, overrun, slack } = settings;
  return ((requestsPerSecond * windowMs) / 1_000 + burst) * (1 + overrun) + slack;
}

/** The fullest window that ends with an admitted request, and the number of such windows. */
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

/** Requests that the limit alone, kept in one place, admits. */
export function admittedByLimit(outcomes: readonly Outcome[], tenant: Tenant): number {
  const bucket = exactBucket(tenant);
  const ofTenant = outcomes.filter((outcome) => outcome.tenant === tenant.name);
  return ofTenant.filter(({ at }) => bucket.take(1, 0, at) === 1).length;
}

/**
 * Refused requests for which the limit, charged with everything of the tenant that was admitted,
 * still had a token: those lay beneath it.
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
