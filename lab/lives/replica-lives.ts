/** One replica id, whose processes follow each other: they crash, drain, and start again under it. */
import type { RandomSource } from '../../src/seams/random-source.js';
import type { Address } from '../../src/seams/address.js';
import { ExchangeReplica } from '../exchange/exchange-replica.js';
import { chance } from '../simulate/fault-plan.js';
import { EPOCH_START } from '../simulation/simulated-clock.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { Simulation } from '../simulation/simulation.js';

const REPLICA_PORT = 9000;
const SHORTEST_LIFE_MS = 1_500;
const LONGEST_LIFE_MS = 9_000;
const SHORTEST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 5_000;
const LONGEST_CUT_MS = 6_000;
/** How far a machine's clock may step between two lives, either way. Milliseconds. */
const LONGEST_STEP_MS = 15_000;
/** Chances of what becomes of a life. 0 to 1. */
const CUT_CHANCE = 0.4;
const DRAIN_CHANCE = 0.4;
/** After the acknowledgement of its leaving a replica goes on for so long. Milliseconds. */
const LINGER_MS = 1_000;

/** One process of a replica. */
export interface ReplicaLife {
  readonly replica: ExchangeReplica;
  /** What to add to its clock for the simulation's time. Milliseconds. */
  readonly clockOffset: number;
  /** When a controller acknowledged that it leaves. Virtual milliseconds; undefined before. */
  leftAt: number | undefined;
}

/** What the lives of one replica need. */
export interface ReplicaLivesParts {
  readonly simulation: Simulation;
  readonly machine: SimulatedMachine;
  readonly replicaId: string;
  readonly service: string;
  readonly controllers: readonly Address[];
}

/** See the module comment. */
export class ReplicaLives {
  readonly lives: ReplicaLife[] = [];
  private readonly random: RandomSource;

  constructor(private readonly parts: ReplicaLivesParts) {
    this.random = parts.simulation.random;
  }

  /** The process that runs now, or ran last. */
  get current(): ReplicaLife {
    const life = this.lives.at(-1);
    if (life === undefined) throw new Error('no life has begun');
    return life;
  }

  /** Starts the first process. */
  async start(): Promise<void> {
    await this.begin();
  }

  /** Ends and starts processes until `end`; the last one stays. Virtual milliseconds. */
  schedule(end: number): void {
    const { simulation } = this.parts;
    const endsAt = simulation.now + this.between(SHORTEST_LIFE_MS, LONGEST_LIFE_MS);
    if (endsAt + LONGEST_PAUSE_MS > end) return;
    if (chance(this.random, CUT_CHANCE)) this.cutBefore(endsAt);
    const drains = chance(this.random, DRAIN_CHANCE);
    simulation.at(endsAt, () => void (drains ? this.drain(end) : this.crash(end)));
  }

  private between(shortest: number, longest: number): number {
    return this.random.nextInteger(shortest, longest);
  }

  /** What it says meanwhile arrives late, perhaps after its end. */
  private cutBefore(endsAt: number): void {
    const { simulation, machine } = this.parts;
    const at = Math.max(simulation.now, endsAt - this.between(0, LONGEST_CUT_MS));
    const healAt = at + this.between(SHORTEST_PAUSE_MS, LONGEST_CUT_MS);
    simulation.at(at, () => {
      const out = simulation.cut({ from: { machine: machine.name } });
      simulation.at(healAt, () => simulation.heal(out));
    });
  }

  private async drain(end: number): Promise<void> {
    const { simulation } = this.parts;
    const life = this.current;
    const isAcknowledged = await life.replica.drain();
    if (isAcknowledged) life.leftAt = simulation.now;
    simulation.at(simulation.now + LINGER_MS, () => this.crash(end));
  }

  private crash(end: number): void {
    const { simulation, machine } = this.parts;
    machine.crash();
    const startsAt = simulation.now + this.between(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
    simulation.at(startsAt, () => {
      machine.restart({ keepDisk: true });
      void this.begin().then(() => this.schedule(end));
    });
  }

  private async begin(): Promise<void> {
    const { simulation, machine, replicaId, service, controllers } = this.parts;
    const { environment, host, zone } = machine;
    const step = this.lives.length === 0 ? 0 : this.between(-LONGEST_STEP_MS, LONGEST_STEP_MS);
    const replica = new ExchangeReplica(environment, {
      replicaId,
      service,
      address: { host, port: REPLICA_PORT },
      zone,
      controllers,
      bornAt: Math.round(EPOCH_START + simulation.now + step),
    });
    const clockOffset = simulation.now - environment.clock.now();
    this.lives.push({ replica, clockOffset, leftAt: undefined });
    await replica.start();
  }
}
