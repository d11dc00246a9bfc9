/** A controller or gateway of a soak, over all its processes. */
import type { Clock } from '../../src/seams/clock.js';
import type { Address } from '../../src/seams/address.js';
import type { DeployedEnd, DeployedProcess } from '../deployed/deployed-process.js';
import { isPlannedEnd, type ProcessEnd } from '../fleet/process-end.js';

/** Daemons give requests in flight this long when they stop. Milliseconds. */
export const STOP_GRACE_MS = 3_000;
/** A daemon that has not stopped by then hangs. Milliseconds. */
const STOP_PATIENCE_MS = STOP_GRACE_MS + 3_000;
/** A daemon that has not started by then fails the run. Milliseconds. */
const START_TIMEOUT_MS = 30_000;
/** Logged once a daemon runs. */
const STARTED_MESSAGE = 'daemon started';
/** Between two signals of a series. Milliseconds. */
const SIGNAL_PAUSE_MS = 20;

/** Where a daemon's processes run. */
export interface SoakMachine {
  readonly name: string;
  /** Where callers or the operator reach the daemon. */
  readonly address: Address;
  /** The whole text of its settings. */
  readonly settingsText: string;
  writeSettings(text: string): Promise<void>;
  /** Empties the data folder; absent where the machine keeps its disk. */
  loseDisk?(): Promise<void>;
  /** Starts a process on what the settings file holds. */
  spawn(): DeployedProcess;
}

function half(text: string): string {
  return text.slice(0, text.length / 2);
}

/** Whether a process stopped as it was told to; the signal also ends one that does not catch it yet. */
function hasStopped(end: ProcessEnd): boolean {
  return isPlannedEnd(end) || end.signal === 'SIGTERM';
}

/** See the module comment. */
export class SoakDaemon {
  private process: DeployedProcess | undefined;
  /** Whether the process that runs now was told to stop. */
  isStopping = false;
  /** How often a process was killed, also because it hung. */
  kills = 0;

  constructor(private readonly machine: SoakMachine) {}

  get name(): string {
    return this.machine.name;
  }

  get address(): Address {
    return this.machine.address;
  }

  async start(): Promise<void> {
    await this.machine.writeSettings(this.machine.settingsText);
    await this.untilStarted(this.spawn());
  }

  /** Starts on settings of which the rest is written after a while. */
  async startDuringWrite(clock: Clock, afterMs: number): Promise<void> {
    const { settingsText } = this.machine;
    await this.machine.writeSettings(half(settingsText));
    const process = this.spawn();
    await clock.sleep(afterMs);
    await this.machine.writeSettings(settingsText);
    await this.untilStarted(process);
  }

  /** Writes the settings in two halves and tells the process to reload after each. */
  async rewriteSettings(clock: Clock, pauseMs: number): Promise<void> {
    const { settingsText } = this.machine;
    for (const text of [half(settingsText), settingsText]) {
      await this.machine.writeSettings(text);
      this.process?.notify('SIGHUP');
      await clock.sleep(pauseMs);
    }
  }

  /** Starts, and tells the process to reload all the while and for `durationMs` after it. */
  async startDuringReloads(clock: Clock, durationMs: number): Promise<void> {
    await this.machine.writeSettings(this.machine.settingsText);
    const process = this.spawn();
    const started = this.untilStarted(process);
    const endsAt = clock.now() + durationMs;
    while (clock.now() < endsAt && process.isRunning) {
      if (process.catches('SIGHUP')) process.notify('SIGHUP');
      await clock.sleep(SIGNAL_PAUSE_MS);
    }
    await started;
  }

  /**
   * Starts a process and tells it to stop after a while, listening or not; whether it ended in time,
   * by itself or by the signal.
   */
  async startAndStop(clock: Clock, afterMs: number): Promise<boolean> {
    this.spawn();
    await clock.sleep(afterMs);
    return hasStopped((await this.stopProcess()) as DeployedEnd);
  }

  /** Starts `successors` processes, each while its predecessor stops; whether all of those stopped. */
  async overlap(clock: Clock, successors: number, pauseMs: number): Promise<boolean> {
    await this.machine.writeSettings(this.machine.settingsText);
    const ends: Promise<DeployedEnd | undefined>[] = [];
    for (let count = 0; count < successors; count += 1) {
      if (count > 0) await clock.sleep(pauseMs);
      ends.push(this.stopProcess());
      this.spawn();
    }
    const successor = this.process as DeployedProcess;
    const stopped = (await Promise.all(ends)).every((end) => end === undefined || hasStopped(end));
    await this.untilStarted(successor);
    return stopped;
  }

  async kill(): Promise<void> {
    this.kills += 1;
    await this.process?.kill();
  }

  /** Kills the process and empties its data folder. */
  async loseDisk(): Promise<void> {
    await this.kill();
    await this.machine.loseDisk?.();
  }

  freeze(): void {
    this.process?.notify('SIGSTOP');
  }

  thaw(): void {
    this.process?.notify('SIGCONT');
  }

  /** A planned stop; whether the process ended by itself in time and without an error. */
  async stop(): Promise<boolean> {
    const end = await this.stopProcess();
    return end === undefined || isPlannedEnd(end);
  }

  /** A planned stop whose signal comes again after a while. */
  async stopTwice(clock: Clock, afterMs: number): Promise<boolean> {
    const { process } = this;
    const stopped = this.stop();
    await Promise.race([clock.sleep(afterMs), stopped]);
    if (process?.isRunning === true) process.tellToStop();
    return stopped;
  }

  private async stopProcess(): Promise<DeployedEnd | undefined> {
    this.isStopping = true;
    const end = await this.process?.stop(STOP_PATIENCE_MS);
    if (end?.hung === true) this.kills += 1;
    return end;
  }

  private spawn(): DeployedProcess {
    this.isStopping = false;
    this.process = this.machine.spawn();
    return this.process;
  }

  /** A process that was over its memory or ended by itself is told of in the verdict. */
  private async untilStarted(process: DeployedProcess): Promise<void> {
    const hasFailed = process.ended.then(({ isUnexpected }) => isUnexpected);
    const line = process.hasSaid(STARTED_MESSAGE)
      ? Promise.resolve()
      : process.waitFor(STARTED_MESSAGE, AbortSignal.timeout(START_TIMEOUT_MS));
    await line.catch(async (error: unknown) => {
      const isTold = !process.isRunning && (await hasFailed);
      if (!isTold) throw error;
    });
  }
}
