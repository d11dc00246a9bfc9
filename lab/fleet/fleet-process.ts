/** One process of a fleet: its log lines as they come, and its end. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import * as z from 'zod';
import type { ProcessEnd } from './process-end.js';

/** How to start a process. */
export interface FleetProcessOptions {
  /** Unique within the fleet. */
  readonly name: string;
  /** Of Node; see `programArguments`. */
  readonly nodeArguments: readonly string[];
  /** Everything the process writes is appended here. */
  readonly logFile: string;
  /** All of its environment; that of this process when absent. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Working directory; that of this process when absent. */
  readonly folder?: string;
  /** Whether a channel tells it that this process is gone; see `end-with-parent.ts`. On by default. */
  readonly hasChannel?: boolean;
}

/** One log line of a daemon. */
const logLineSchema = z.looseObject({
  message: z.string(),
  context: z.record(z.string(), z.unknown()),
});
export type LogLine = z.infer<typeof logLineSchema>;

/** Logged by a process that something keeps running after its daemon has stopped. */
const LINGERED_MESSAGE = 'process still running after its stop';

/** Lines that are kept for a message about the process's end. */
const LAST_LINES = 5;

type LineListener = (line: LogLine) => void;

function parseLine(text: string): LogLine | undefined {
  try {
    return logLineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** A running process. It ends when this one does, in whatever way. */
export class FleetProcess {
  /** Resolves with how it ended. */
  readonly ended: Promise<ProcessEnd>;
  private readonly child: ChildProcess;
  private readonly listeners = new Set<LineListener>();
  private hasEnded = false;
  /** Why the daemon failed, as it said itself. */
  private failure: string | undefined;
  private hung = false;
  private hasLingered = false;
  private readonly latest: string[] = [];
  private readonly messages = new Set<string>();

  constructor(readonly options: FleetProcessOptions) {
    const { name, nodeArguments, environment, folder, hasChannel = true } = options;
    this.child = spawn(process.execPath, nodeArguments, {
      env: environment ?? process.env,
      cwd: folder,
      // A group of its own: Ctrl-C in a terminal reaches the runner alone. A
      // second SIGINT would end the process at once.
      detached: true,
      stdio: ['ignore', 'pipe', 'pipe', ...(hasChannel ? (['ipc'] as const) : [])],
    });
    const logged = this.record();
    this.ended = new Promise((resolve) => {
      const settle = (exitCode: number | null, signal: string | null): void => {
        resolve({
          name,
          ...(exitCode === null ? {} : { exitCode }),
          ...(signal === null ? {} : { signal }),
          hung: this.hung,
          ...(this.hasLingered ? { lingered: true } : {}),
        });
      };
      this.child.once('exit', (exitCode, signal) => {
        this.hasEnded = true;
        // What it wrote last may still be on the way to the file.
        void logged.then(() => settle(exitCode, signal));
      });
      this.child.once('error', (error) => {
        this.hasEnded = true;
        settle(null, error.message);
      });
    });
  }

  get name(): string {
    return this.options.name;
  }

  /** Undefined when it could not be started. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** What it wrote last. */
  get lastLines(): readonly string[] {
    return this.latest;
  }

  get isRunning(): boolean {
    return !this.hasEnded;
  }

  /**
   * Waits for the log line with this message.
   *
   * @throws Error when the process ends first, or the signal aborts.
   */
  waitFor(message: string, signal: AbortSignal): Promise<LogLine> {
    const { name, logFile } = this.options;
    return new Promise((resolve, reject) => {
      const finish = (): void => {
        this.listeners.delete(onLine);
        signal.removeEventListener('abort', onAbort);
      };
      const onLine: LineListener = (line) => {
        if (line.message !== message) return;
        finish();
        resolve(line);
      };
      const fail = (reason: string): void => {
        finish();
        const why = this.failure === undefined ? '' : ` (${this.failure})`;
        reject(new Error(`${name} ${reason}${why} before it said "${message}"; see ${logFile}`));
      };
      const onAbort = (): void => fail('was interrupted');
      this.listeners.add(onLine);
      signal.addEventListener('abort', onAbort, { once: true });
      if (signal.aborted) onAbort();
      void this.ended.then(() => fail('ended'));
    });
  }

  /** Whether it has logged this message. */
  hasSaid(message: string): boolean {
    return this.messages.has(message);
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Ends it without warning. */
  async kill(): Promise<ProcessEnd> {
    this.child.kill('SIGKILL');
    return this.ended;
  }

  /** Stops it in its tracks, as a machine that is cut off in silence, until {@link FleetProcess.thaw}. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  thaw(): void {
    this.child.kill('SIGCONT');
  }

  /** A planned stop; kills the process when it is not done after `patience` milliseconds. */
  async stop(patience: number): Promise<ProcessEnd> {
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => {
      this.hung = this.isRunning;
      this.child.kill('SIGKILL');
    }, patience);
    const end = await this.ended;
    clearTimeout(timer);
    return end;
  }

  /** Resolves once all that the process wrote is in the log, or cannot get there. */
  private record(): Promise<void> {
    const { stdout, stderr } = this.child;
    const log = createWriteStream(this.options.logFile, { flags: 'a' });
    // A log that cannot be written costs nobody the run.
    log.on('error', () => undefined);
    const closed = new Promise<void>((resolve) => log.once('close', () => resolve()));
    this.child.once('close', () => log.end());
    stderr?.on('data', (chunk: Buffer) => {
      log.write(chunk);
      for (const text of chunk.toString().trim().split('\n')) this.keepLine(text);
    });
    if (stdout === null) return closed;
    const lines = createInterface({ input: stdout });
    lines.on('line', (text) => {
      log.write(`${text}\n`);
      this.keepLine(text);
      const line = parseLine(text);
      if (line !== undefined) this.messages.add(line.message);
      if (line?.message === LINGERED_MESSAGE) this.hasLingered = true;
      if (line?.message === 'daemon failed') this.failure = String(line.context['reason']);
      if (line !== undefined) for (const listener of [...this.listeners]) listener(line);
    });
    return closed;
  }

  private keepLine(text: string): void {
    this.latest.push(text);
    if (this.latest.length > LAST_LINES) this.latest.shift();
  }
}
