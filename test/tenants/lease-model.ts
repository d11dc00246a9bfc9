/**
 * A gateway's lease against everything that can happen to its messages, in steps of virtual time:
 * any delay and loss, documents later than the bound, cuts, freezes, restarts, wrong clock rates.
 */
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import { LeaseKeeper, type LeaseFaults } from '../../src/tenants/lease-keeper.js';

export const BOUND_MS = 5_000;
const STEP_MS = 5;
const DURATION_MS = 60_000;
/** Largest error of the gateway's clock rate. */
const MAXIMUM_CLOCK_RATE_ERROR = 0.009;
/** How old the state of a controller that asks no quorum may be. Milliseconds. */
const MAXIMUM_STALENESS_MS = 8_000;

/** What the model is broken by. */
export interface ModelFaults extends LeaseFaults {
  /** A controller answers by what it believes, which may be old. */
  readonly skipBarrier?: boolean;
}

/** What was seen in one schedule. */
export interface ModelResult {
  readonly accepted: number;
  readonly refused: number;
  /** Requests accepted by a document of which the next one was acknowledged longer ago than the bound. */
  readonly violations: number;
}

interface Delivery {
  readonly at: number;
  readonly incarnation: number;
  readonly run: () => void;
}

/** One schedule. */
class LeaseModel {
  private now = 0;
  private readonly random: RandomSource;
  private readonly clockRate: number;
  private readonly acknowledgedAt: number[] = [0];
  private deliveries: Delivery[] = [];
  private incarnation = 0;
  private version = 0;
  private frozenUntil = 0;
  private cutUntil = 0;
  private keeper: LeaseKeeper;
  private readonly counts = { accepted: 0, refused: 0, violations: 0 };

  constructor(
    seed: number,
    private readonly faults: ModelFaults,
  ) {
    this.random = seededRandom(seed, 'lease');
    this.clockRate = 1 + (this.random.nextFloat() * 2 - 1) * MAXIMUM_CLOCK_RATE_ERROR;
    this.keeper = this.createKeeper();
  }

  run(): ModelResult {
    for (; this.now < DURATION_MS; this.now += STEP_MS) this.step();
    return this.counts;
  }

  private createKeeper(): LeaseKeeper {
    const origin = this.random.nextInteger(0, 1e9);
    const clock = { now: () => origin + this.now * this.clockRate };
    const { random, faults } = this;
    const keeper = new LeaseKeeper({ clock, random, boundMs: BOUND_MS, faults });
    keeper.setRouteTable(this.version, true);
    return keeper;
  }

  private step(): void {
    if (this.happens(1 / 4_000)) this.acknowledge();
    if (this.happens(1 / 5_000)) this.cutUntil = this.now + this.draw(7_000);
    if (this.happens(1 / 8_000)) this.frozenUntil = this.now + this.draw(9_000);
    if (this.happens(1 / 20_000)) this.restart();
    if (this.now < this.frozenUntil) return;
    this.deliver();
    if (this.keeper.requestDueInMs <= 0) this.sendConfirmationRequest();
    this.request();
  }

  /** Whether something happens in this step that happens once in `1 / perMillisecond`. */
  private happens(perMillisecond: number): boolean {
    return this.random.nextFloat() < perMillisecond * STEP_MS;
  }

  private draw(longest: number): number {
    return this.random.nextFloat() * longest;
  }

  /** Mostly short, at times as long as anything that is waited for. */
  private drawDelay(): number {
    return this.random.nextFloat() < 0.7 ? this.draw(50) : this.draw(4_000);
  }

  private acknowledge(): void {
    this.acknowledgedAt.push(this.now);
    const version = this.acknowledgedAt.length - 1;
    const delay = this.random.nextFloat() < 0.7 ? this.draw(300) : this.draw(2 * BOUND_MS);
    this.deliverLater(delay, () => this.useDocument(version));
  }

  private useDocument(version: number): void {
    if (version <= this.version) return;
    this.version = version;
    this.keeper.setRouteTable(version, true);
  }

  /** The document in force is known before the start, as it comes before any answer could. */
  private restart(): void {
    this.incarnation += 1;
    this.frozenUntil = 0;
    this.keeper = this.createKeeper();
  }

  private sendConfirmationRequest(): void {
    const { number } = this.keeper.beginRequest();
    if (this.now < this.cutUntil) return;
    const arrivesAt = this.now + this.drawDelay();
    const provenAt = arrivesAt + this.drawDelay();
    const answeredAt = provenAt + this.drawDelay();
    this.deliverLater(answeredAt - this.now, () => {
      this.keeper.handleConfirmation(number, this.drawConfirmedVersion(arrivesAt, provenAt));
    });
  }

  /** Anything that a quorum held between the arrival of the question and the proof. */
  private drawConfirmedVersion(arrivesAt: number, provenAt: number): number {
    if (this.faults.skipBarrier === true) {
      return this.versionAt(arrivesAt - this.draw(MAXIMUM_STALENESS_MS));
    }
    return this.versionAt(this.random.nextFloat() < 0.5 ? arrivesAt : provenAt);
  }

  private versionAt(time: number): number {
    return Math.max(0, this.acknowledgedAt.filter((at) => at <= time).length - 1);
  }

  private deliverLater(delay: number, run: () => void): void {
    this.deliveries.push({ at: this.now + delay, incarnation: this.incarnation, run });
  }

  /** Documents reach a later life as well: its streams bring them anew. */
  private deliver(): void {
    if (this.now < this.cutUntil) return;
    const due = this.deliveries.filter(({ at }) => at <= this.now);
    this.deliveries = this.deliveries.filter(({ at }) => at > this.now);
    for (const { run, incarnation: life } of due) if (life === this.incarnation) run();
    this.recoverDocuments();
  }

  private recoverDocuments(): void {
    if (this.happens(1 / 6_000)) this.useDocument(this.acknowledgedAt.length - 1);
  }

  private request(): void {
    if (!this.keeper.isHeld) {
      this.counts.refused += 1;
      return;
    }
    this.counts.accepted += 1;
    const replacedAt = this.acknowledgedAt[this.version + 1] ?? Infinity;
    if (this.now > replacedAt + BOUND_MS) this.counts.violations += 1;
  }
}

export function runLeaseModel(seed: number, faults: ModelFaults = {}): ModelResult {
  return new LeaseModel(seed, faults).run();
}
