/**
 * A process of the fleet under a process manager: it is started again some time
 * after it ended, however it ended, on the same machine and disk.
 */
import type { DurableEnvironment } from '../../src/seams/environment.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { Simulation } from '../simulation/simulation.js';
import type { Timeline } from './timeline.js';

/** What runs; ended by a planned stop. */
export interface RunningProcess {
  stop(): Promise<void>;
}

/** What the fleet wants to hear of the life of its processes. */
export interface ProcessObserver {
  onStarted?(name: string): void;
  onStopping?(name: string): void;
  onCrashed?(name: string): void;
}

/** How a process is started on its machine. */
export type StartProcess<T extends RunningProcess> = (
  environment: DurableEnvironment,
) => Promise<T>;

/** Time to the next try of a start that failed. Milliseconds. */
const RESTART_PAUSE = 1_000;

/** See the module comment. */
export class ManagedProcess<T extends RunningProcess> {
  /** The running process; undefined while it starts or is down. */
  running: T | undefined;
  private state: 'up' | 'stopping' | 'down' = 'down';
  /** Grows whenever a process ends or starts, so that what belongs to an earlier one is told. */
  private life = 0;
  private firstStart = true;

  constructor(
    private readonly simulation: Simulation,
    readonly machine: SimulatedMachine,
    private readonly timeline: Timeline,
    private readonly startProcess: StartProcess<T>,
    private readonly observer: ProcessObserver = {},
  ) {}

  get name(): string {
    return this.machine.name;
  }

  /** Counts the process's starts and ends; the same number means the same process. */
  get lifeNumber(): number {
    return this.life;
  }

  /** Starts the process unless it runs, and tries again until it does. */
  async start(): Promise<void> {
    if (this.state !== 'down') return;
    this.state = 'up';
    this.life += 1;
    const { life } = this;
    try {
      const process = await this.startProcess(this.takeEnvironment());
      if (life !== this.life) return;
      this.running = process;
      this.observer.onStarted?.(this.name);
    } catch (error) {
      if (life !== this.life) return;
      this.timeline.note(`${this.name} did not start: ${String(error)}`);
      this.crash({ power: false, downtime: RESTART_PAUSE });
    }
  }

  /** Ends the process at once, and starts it again after `downtime` milliseconds. */
  crash({ power, downtime }: { power: boolean; downtime: number }): void {
    if (this.state !== 'down') this.observer.onCrashed?.(this.name);
    this.end(power);
    this.startAfter(downtime);
  }

  /** Stops the process as planned, and starts it again `downtime` milliseconds later. */
  restart(downtime: number): void {
    const { running, life } = this;
    if (this.state !== 'up' || running === undefined) return;
    this.state = 'stopping';
    this.observer.onStopping?.(this.name);
    void running.stop().then(() => {
      if (life !== this.life) return;
      this.end(false);
      this.startAfter(downtime);
    });
  }

  private takeEnvironment(): DurableEnvironment {
    if (!this.firstStart) return this.machine.restart({ keepDisk: true });
    this.firstStart = false;
    return this.machine.environment;
  }

  private end(power: boolean): void {
    this.machine.crash({ power });
    this.running = undefined;
    this.state = 'down';
    this.life += 1;
  }

  private startAfter(downtime: number): void {
    const { life } = this;
    this.simulation.at(this.simulation.now + downtime, () => {
      if (life === this.life) void this.start();
    });
  }
}
