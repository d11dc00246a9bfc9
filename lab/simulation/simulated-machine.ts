/** A machine of the simulation: its address, its disk, and the process that runs on it. */
import type { DurableEnvironment } from '../../src/seams/environment.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import { MICROSECONDS_PER_MILLISECOND, type EventQueue } from './event-queue.js';
import type { NetworkFabric, NetworkNode, PortListener } from './network-fabric.js';
import { ProcessLife } from './process-life.js';
import { SimulatedClock, type ClockError } from './simulated-clock.js';
import { SimulatedDisk } from './simulated-disk.js';
import { SimulatedNetwork } from './simulated-network.js';
import { SimulatedVolume } from './simulated-volume.js';

const FIRST_EPHEMERAL_PORT = 40_000;
const LONGEST_CLOCK_ORIGIN = 1_000_000;

/** How a process ends. */
export interface CrashOptions {
  /** The whole machine loses its power: its peers hear nothing, not even a reset. */
  readonly power?: boolean;
}

/** How the machine comes back. */
export interface RestartOptions {
  /** False gives the new process an empty disk. */
  readonly keepDisk: boolean;
}

/** See the module comment. */
export class SimulatedMachine implements NetworkNode {
  readonly host: string;
  readonly listeners = new Map<number, PortListener>();
  readonly volume: SimulatedVolume;
  private readonly clockError: ClockError = { skew: 0 };
  private clockRate = 1;
  powered = true;
  private life: ProcessLife;
  private currentEnvironment: DurableEnvironment;
  private starts = 0;
  private nextPort = FIRST_EPHEMERAL_PORT;

  constructor(
    private readonly events: EventQueue,
    private readonly fabric: NetworkFabric,
    private readonly createRandom: (purpose: string) => RandomSource,
    readonly index: number,
    readonly name: string,
    readonly zone: string,
  ) {
    this.host = `10.${(index >> 16) & 255}.${(index >> 8) & 255}.${index & 255}`;
    this.volume = new SimulatedVolume(createRandom('volume'));
    this.life = new ProcessLife(index);
    this.currentEnvironment = this.createEnvironment();
  }

  /** The seams of the running process; those of an earlier one are dead. */
  get environment(): DurableEnvironment {
    return this.currentEnvironment;
  }

  /** Whether a process may run here now. */
  get running(): boolean {
    return this.life.alive;
  }

  /**
   * Ends the process at once. Its timers never fire, promises of its seams
   * never settle, disk bytes not synced are lost or torn, and its connections
   * are reset (which a cut link does not let through).
   */
  crash(options: CrashOptions = {}): void {
    if (!this.life.alive) return;
    const { life } = this;
    const sockets = [...life.sockets];
    if (options.power === true) {
      this.powered = false;
      for (const socket of sockets) socket.vanish();
    } else {
      for (const socket of sockets) socket.reset();
    }
    life.alive = false;
    this.listeners.clear();
    this.volume.crash();
  }

  /** Starts the machine again, and gives the environment of its new process. */
  restart(options: RestartOptions): DurableEnvironment {
    this.crash();
    if (!options.keepDisk) this.volume.wipe();
    this.powered = true;
    this.life = new ProcessLife(this.index);
    this.currentEnvironment = this.createEnvironment();
    this.fabric.resumeStalledPipes();
    return this.currentEnvironment;
  }

  /** Nothing of the process runs for `milliseconds`; what arrives meanwhile waits. */
  freeze(milliseconds: number): void {
    const end = this.events.now + Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    this.life.frozenUntil = Math.max(this.life.frozenUntil, end);
  }

  /** Sets how far the machine's time of day is off. Milliseconds. */
  skew(milliseconds: number): void {
    this.clockError.skew = milliseconds;
  }

  /** Sets how fast the clock of later processes runs; 1 is exact. Call before `restart`. */
  drift(rate: number): void {
    this.clockRate = rate;
  }

  allocatePort(): number {
    do this.nextPort += 1;
    while (this.listeners.has(this.nextPort));
    return this.nextPort;
  }

  private createEnvironment(): DurableEnvironment {
    const { events, life, fabric, volume } = this;
    this.starts += 1;
    const create = (purpose: string): RandomSource =>
      this.createRandom(`${this.starts}/${purpose}`);
    const origin = create('clock').nextInteger(0, LONGEST_CLOCK_ORIGIN);
    return {
      clock: new SimulatedClock(events, life, this.clockError, this.clockRate, origin),
      network: new SimulatedNetwork(fabric, this, life),
      random: create('process'),
      disk: new SimulatedDisk(events, life, volume, create('disk')),
    };
  }
}
