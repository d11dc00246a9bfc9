/**
 * Runs a whole fleet in one process, in virtual time, exactly repeatable from
 * a seed. Between two events every promise job runs to its end: each event is
 * run in its own `setImmediate` callback, and Node drains all jobs after each.
 */
import type { RandomSource } from '../../src/seams/random-source.js';
import { EventDigest } from './event-digest.js';
import { EventKind, EventQueue, MICROSECONDS_PER_MILLISECOND } from './event-queue.js';
import { LinkTable, type LinkProperties, type LinkRule, type LinkRuleId } from './link-table.js';
import { NetworkFabric } from './network-fabric.js';
import { seededRandom } from './seeded-random.js';
import { SimulatedMachine } from './simulated-machine.js';

/** Events run in one turn of Node's event loop. */
const EVENTS_PER_TURN = 256;

/** Time passed without the awaited promise settling. */
export class SimulationTimeoutError extends Error {}

/** See the module comment. One run at a time. */
export class Simulation {
  /** Of the simulation itself, for fault schedules; processes have their own. */
  readonly random: RandomSource;
  private readonly digest = new EventDigest();
  private readonly events = new EventQueue(this.digest);
  private readonly links: LinkTable;
  private readonly fabric: NetworkFabric;
  private readonly machinesByName = new Map<string, SimulatedMachine>();

  constructor(readonly seed: number) {
    this.random = seededRandom(seed, 'schedule');
    this.links = new LinkTable(seededRandom(seed, 'links'));
    this.fabric = new NetworkFabric(this.events, this.links);
  }

  /** Virtual milliseconds since the start. */
  get now(): number {
    return this.events.now / MICROSECONDS_PER_MILLISECOND;
  }

  /** Events run so far. */
  get executedEvents(): number {
    return this.events.executedEvents;
  }

  /** Hash of every event so far; the same seed and program give the same digest. */
  get eventDigest(): string {
    return this.digest.value();
  }

  get machines(): readonly SimulatedMachine[] {
    return [...this.machinesByName.values()];
  }

  createMachine(name: string, zone: string): SimulatedMachine {
    if (this.machinesByName.has(name)) throw new RangeError(`machine ${name} exists already`);
    const index = this.machinesByName.size + 1;
    const machine = new SimulatedMachine(
      this.events,
      this.fabric,
      (purpose) => seededRandom(this.seed, `${name}/${purpose}`),
      index,
      name,
      zone,
    );
    this.machinesByName.set(name, machine);
    this.fabric.addNode(machine);
    return machine;
  }

  /** @throws RangeError when there is none of that name. */
  machine(name: string): SimulatedMachine {
    const machine = this.machinesByName.get(name);
    if (machine === undefined) throw new RangeError(`no machine ${name}`);
    return machine;
  }

  /** Runs `action` at a time of the simulation, such as a fault. Milliseconds. */
  at(time: number, action: () => void): void {
    const microseconds = Math.round(time * MICROSECONDS_PER_MILLISECOND);
    this.events.scheduleAt(microseconds, EventKind.Fault, undefined, 0, action);
  }

  /** Cuts one direction in silence. */
  cut(rule: LinkRule): LinkRuleId {
    return this.links.cut(rule);
  }

  /** Changes latency, bandwidth, loss or resets of one direction. */
  changeLink(rule: LinkRule, properties: Partial<LinkProperties>): LinkRuleId {
    return this.links.change(rule, properties);
  }

  /** Takes back one cut or change. */
  heal(id: LinkRuleId): void {
    this.links.heal(id);
    this.fabric.resumeStalledPipes();
  }

  /** Takes back all cuts and changes. */
  healAll(): void {
    this.links.healAll();
    this.fabric.resumeStalledPipes();
  }

  /** Runs for `milliseconds` of virtual time. */
  runFor(milliseconds: number): Promise<void> {
    return this.runUntil(this.now + milliseconds);
  }

  /** Runs until the virtual time is `time`. Milliseconds. */
  async runUntil(time: number): Promise<void> {
    const end = Math.round(time * MICROSECONDS_PER_MILLISECOND);
    await this.drive(end, () => false);
    this.events.advanceTo(end);
  }

  /**
   * Runs until `promise` settles and gives its outcome.
   *
   * @throws SimulationTimeoutError when `limit` milliseconds of virtual time pass before.
   */
  async settle<T>(promise: Promise<T>, limit = 60_000): Promise<T> {
    let settled = false;
    const mark = (): void => {
      settled = true;
    };
    promise.then(mark, mark);
    const end = this.events.now + Math.round(limit * MICROSECONDS_PER_MILLISECOND);
    await this.drive(end, () => settled);
    if (settled) return promise;
    throw new SimulationTimeoutError(`not settled within ${limit} ms of virtual time`);
  }

  /** Runs events up to `end` or until `finished` says so. */
  private drive(end: number, finished: () => boolean): Promise<void> {
    return new Promise((resolve, reject) => {
      let over = false;
      let runInTurn = 0;
      const step = (): void => {
        if (over) return;
        const next = this.events.nextTime();
        if (finished() || next === undefined || next > end) {
          over = true;
          resolve();
          return;
        }
        try {
          this.events.runNext();
        } catch (error) {
          over = true;
          reject(error instanceof Error ? error : new Error(String(error)));
          return;
        }
        runInTurn += 1;
        if (runInTurn === EVENTS_PER_TURN) startTurn();
      };
      const startTurn = (): void => {
        runInTurn = 0;
        for (let count = 0; count < EVENTS_PER_TURN; count += 1) setImmediate(step);
      };
      startTurn();
    });
  }
}
