/** A daemon as the deployment runs it, with a bound on its memory. */
import { constants } from 'node:os';
import { FleetProcess, type LogLine } from '../fleet/fleet-process.js';
import { describeEnd, type ProcessEnd } from '../fleet/process-end.js';
import type { ProcessGuard } from './process-guard.js';
import { catchesSignal, readPeakBytes } from './process-status.js';

/** How to start it. */
export interface DeployedProcessOptions {
  readonly name: string;
  /** Words of the command line that follow `node`. */
  readonly nodeArguments: readonly string[];
  /** All of its environment. */
  readonly environment: Readonly<Record<string, string>>;
  /** Working directory. */
  readonly folder: string;
  readonly logFile: string;
  /** The process is killed when it uses more, as on the platform. Bytes. */
  readonly memoryLimitBytes: number;
  readonly guard: ProcessGuard;
}

/** How a process ended. */
export interface DeployedEnd extends ProcessEnd {
  /** Nobody told it to. */
  readonly isUnexpected: boolean;
  readonly isOverMemory: boolean;
  /** Highest resident memory that was read. Bytes. */
  readonly peakBytes: number;
  readonly lastLines: readonly string[];
}

const MEMORY_INTERVAL_MS = 20;
const BYTES_PER_MEGABYTE = 1_000_000;

/** As a person reads it. */
export function describeDeployedEnd(end: DeployedEnd): string {
  const { name, isOverMemory, peakBytes, lastLines } = end;
  const megabytes = Math.round(peakBytes / BYTES_PER_MEGABYTE);
  const what = isOverMemory ? `${name} was killed over its memory` : describeEnd(end);
  return [`${what}, at most ${megabytes} MB`, ...lastLines].join('\n    ');
}

/** See the module comment. */
export class DeployedProcess {
  /** Resolves with how it ended. */
  readonly ended: Promise<DeployedEnd>;
  private readonly process: FleetProcess;
  private readonly timer: NodeJS.Timeout;
  private wasTold = false;
  private isOverMemory = false;
  private peak = 0;

  constructor(private readonly options: DeployedProcessOptions) {
    const { guard } = options;
    this.process = new FleetProcess({ ...options, hasChannel: false });
    const { pid } = this.process;
    if (pid !== undefined) guard.add(pid);
    this.timer = setInterval(() => void this.checkMemory(), MEMORY_INTERVAL_MS);
    this.ended = this.process.ended.then((end) => {
      clearInterval(this.timer);
      if (pid !== undefined) guard.remove(pid);
      return this.describe(end);
    });
  }

  get name(): string {
    return this.options.name;
  }

  /** Undefined when it could not be started. */
  get pid(): number | undefined {
    return this.process.pid;
  }

  get isRunning(): boolean {
    return this.process.isRunning;
  }

  /** Highest resident memory that was read. Bytes. */
  get peakBytes(): number {
    return this.peak;
  }

  /** Whether it has a handler for the signal by now. */
  catches(signal: 'SIGHUP' | 'SIGTERM'): boolean {
    return this.pid !== undefined && catchesSignal(this.pid, constants.signals[signal]);
  }

  /** Whether it has logged this message. */
  hasSaid(message: string): boolean {
    return this.process.hasSaid(message);
  }

  /** @throws Error when the process ends before it logs this message, or the signal aborts. */
  waitFor(message: string, signal: AbortSignal): Promise<LogLine> {
    return this.process.waitFor(message, signal);
  }

  /** Sends a signal that does not end the process. */
  notify(signal: 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void {
    this.process.signal(signal);
  }

  /** Begins a planned stop, or repeats the signal for it. */
  tellToStop(): void {
    this.wasTold = true;
    this.process.signal('SIGTERM');
  }

  /** A planned stop; kills the process when it is not done after `patienceMs`. */
  async stop(patienceMs: number): Promise<DeployedEnd> {
    this.wasTold = true;
    await this.process.stop(patienceMs);
    return this.ended;
  }

  /** Ends it without warning. */
  async kill(): Promise<DeployedEnd> {
    this.wasTold = true;
    await this.process.kill();
    return this.ended;
  }

  private describe(end: ProcessEnd): DeployedEnd {
    const { isOverMemory, peak } = this;
    const isUnexpected = !this.wasTold || isOverMemory;
    const { lastLines } = this.process;
    return { ...end, isUnexpected, isOverMemory, peakBytes: peak, lastLines };
  }

  private async checkMemory(): Promise<void> {
    const { pid, isRunning } = this.process;
    if (pid === undefined || !isRunning || this.isOverMemory) return;
    this.peak = Math.max(this.peak, (await readPeakBytes(pid)) ?? 0);
    if (this.peak <= this.options.memoryLimitBytes || !this.process.isRunning) return;
    this.isOverMemory = true;
    await this.process.kill();
  }
}
