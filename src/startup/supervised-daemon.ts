/**
 * Runs a daemon, and starts it again in the same process when it failed for a cause that may pass,
 * such as a full disk. All its parts are closed first and recover from disk, as after a restart of
 * the process.
 */
import type { Registry } from 'prom-client';
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import { settleWithin } from '../seams/settle-within.js';

const INITIAL_BACKOFF_MS = 250;
/** Bounds how long a daemon is gone after its disk has room again. */
const MAXIMUM_BACKOFF_MS = 5_000;
/** A daemon that ran for this long begins anew with the shortest backoff. */
const STABLE_RUN_MS = 60_000;
/** A daemon that takes longer to stop may still use its data folder, so no other may be started. */
const STOP_TIMEOUT_MS = 15_000;

/** A daemon that tells when it cannot go on. */
export interface FallibleDaemon {
  stop(): Promise<void>;
  /** Resolves with the cause once the daemon cannot go on. */
  readonly failure: Promise<Error>;
}

/** What a {@link SupervisedDaemon} runs. */
export interface SupervisedDaemonOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Metrics that the daemon registered are removed before it starts again. */
  readonly registry: Registry;
  /** Aborts when the process is told to stop before the daemon has started for the first time. */
  readonly stopped: AbortSignal;
  /** Starts the daemon; the signal aborts when it is of no more use. */
  readonly start: (stopped: AbortSignal) => Promise<FallibleDaemon>;
  /** Whether a start after this failure may succeed without a change to the settings. */
  readonly mayStartAgain: (failure: unknown) => boolean;
}

function reasonOf(failure: unknown): string {
  return failure instanceof Error ? failure.message : String(failure);
}

/** Create one with {@link SupervisedDaemon.start}. */
export class SupervisedDaemon implements FallibleDaemon {
  readonly failure: Promise<Error>;
  private fail!: (failure: Error) => void;
  private readonly stopping = new AbortController();
  private readonly stopRequested: Promise<undefined>;
  private finished = Promise.resolve();
  private readonly ownMetrics: ReadonlySet<string>;
  private failuresInARow = 0;
  private loggedReason: string | undefined;

  private constructor(private readonly options: SupervisedDaemonOptions) {
    const { registry, stopped } = options;
    this.failure = new Promise((resolve) => (this.fail = resolve));
    const { signal } = this.stopping;
    this.stopRequested = new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(undefined), { once: true });
    });
    this.ownMetrics = new Set(registry.getMetricsAsArray().map(({ name }) => name));
    if (stopped.aborted) this.stopping.abort(stopped.reason);
    stopped.addEventListener('abort', () => this.stopping.abort(stopped.reason), { once: true });
  }

  /**
   * Resolves once the daemon has started for the first time.
   *
   * @throws the failure of a start that cannot pass, or the signal's reason.
   */
  static async start(options: SupervisedDaemonOptions): Promise<SupervisedDaemon> {
    const supervised = new SupervisedDaemon(options);
    const daemon = await supervised.startUntilPassed();
    supervised.finished = supervised.run(daemon).catch((error: unknown) => {
      supervised.fail(error instanceof Error ? error : new Error(String(error)));
    });
    return supervised;
  }

  /** Planned stop of the daemon that runs, or end of the wait for its next start. */
  async stop(): Promise<void> {
    this.stopping.abort(new Error('stopped'));
    await this.finished;
  }

  private async run(first: FallibleDaemon): Promise<void> {
    const { clock, logger } = this.options;
    let daemon = first;
    for (;;) {
      const startedAt = clock.now();
      const failure = await Promise.race([daemon.failure, this.stopRequested]);
      if (failure === undefined) return daemon.stop();
      const isStopped = await this.hasStopped(daemon);
      if (this.stopping.signal.aborted) return;
      if (!isStopped || !this.options.mayStartAgain(failure)) return this.fail(failure);
      if (clock.now() - startedAt >= STABLE_RUN_MS) this.failuresInARow = 0;
      logger.warn('daemon failed, starting again', { reason: failure.message });
      try {
        await this.backOff();
        daemon = await this.startUntilPassed();
      } catch (error) {
        if (!this.stopping.signal.aborted) throw error;
        return;
      }
    }
  }

  private async startUntilPassed(): Promise<FallibleDaemon> {
    const { signal } = this.stopping;
    const { start, mayStartAgain, logger } = this.options;
    for (;;) {
      signal.throwIfAborted();
      try {
        const daemon = await start(signal);
        this.loggedReason = undefined;
        return daemon;
      } catch (error) {
        if (signal.aborted || !mayStartAgain(error)) throw error;
        const reason = reasonOf(error);
        if (reason !== this.loggedReason) logger.warn('start failed, trying again', { reason });
        this.loggedReason = reason;
      }
      await this.backOff();
    }
  }

  /** False when the daemon didn't stop in time. */
  private async hasStopped(daemon: FallibleDaemon): Promise<boolean> {
    const { clock, logger } = this.options;
    let isStopped = false;
    const stop = daemon.stop().then(
      () => (isStopped = true),
      (error: unknown) => {
        // It has closed its parts all the same.
        logger.warn('failed daemon not stopped as planned', { reason: reasonOf(error) });
        isStopped = true;
      },
    );
    await settleWithin(clock, stop, STOP_TIMEOUT_MS);
    return isStopped;
  }

  private async backOff(): Promise<void> {
    this.forgetMetrics();
    const backoff = Math.min(INITIAL_BACKOFF_MS * 2 ** this.failuresInARow, MAXIMUM_BACKOFF_MS);
    this.failuresInARow += 1;
    await this.options.clock.sleep(backoff, this.stopping.signal);
  }

  private forgetMetrics(): void {
    const { registry } = this.options;
    for (const { name } of registry.getMetricsAsArray()) {
      if (!this.ownMetrics.has(name)) registry.removeSingleMetric(name);
    }
  }
}
