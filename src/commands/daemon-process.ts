/** What the two daemons' processes share: logs, metrics, and a planned stop on a signal. */
import { Registry, collectDefaultMetrics } from 'prom-client';
import { enforceExit } from '../node/exit-deadline.js';
import { NodeClock } from '../node/node-clock.js';
import type { Logger } from '../observability/logger.js';
import { createOutputLineWriter, type OutputStream } from '../node/output-line-writer.js';
import { createRoarrLogger } from '../observability/roarr-logger.js';
import type { Telemetry } from '../observability/telemetry.js';
import { settleWithin } from '../seams/settle-within.js';
import { nextStopSignal, type SignalledProcess } from './stop-signals.js';
import { watchUncaughtErrors, type UncaughtErrorSource } from './uncaught-errors.js';

/** A daemon that can be stopped without cutting off what is in flight. */
export interface StoppableDaemon {
  stop(): Promise<void>;
  /** Resolves with the cause if the daemon cannot go on by itself. */
  readonly failure?: Promise<Error>;
}

export type { Telemetry };

/** Exit codes of the daemons. */
export enum ExitCode {
  Success = 0,
  /** The daemon failed while starting or running. */
  Failure = 1,
  /** The settings file or a flag is wrong. */
  BadConfiguration = 2,
}

/** How log lines are written; `auto` is readable on a terminal and JSON otherwise. */
export type LogFormat = 'auto' | 'json' | 'pretty';

/** A process's logger and metrics registry. */
export interface ProcessTelemetry extends Telemetry {
  /** Waits a moment for the last lines to leave. */
  flush(): Promise<void>;
}

const FLUSH_TIMEOUT_MS = 200;
/** How often the delay of the event loop is sampled. Each sample wakes the process up. */
const LOOP_SAMPLE_INTERVAL_MS = 100;
/**
 * Longest planned stop of a daemon that failed: what it waits for may be what is
 * broken, and a process that never ends is never started again. Milliseconds.
 */
const FAILED_STOP_TIMEOUT_MS = 15_000;
/** Time for a start to end once the process is told to stop. Milliseconds. */
const ABANDONED_START_TIMEOUT_MS = 1_000;

/** Makes the process's logger and metrics registry; a reader of its lines that stalls costs lines. */
export function createTelemetry(format: LogFormat, output: OutputStream): ProcessTelemetry {
  const pretty = format === 'pretty' || (format === 'auto' && output.isTTY === true);
  const writer = createOutputLineWriter(output);
  const logger = createRoarrLogger(pretty, (line) => writer.write(line));
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: LOOP_SAMPLE_INTERVAL_MS,
  });
  return { logger, registry, flush: () => writer.drain(FLUSH_TIMEOUT_MS) };
}

/** Where a process hears of signals and uncaught errors; Node's `process`. */
export type ProcessEvents = UncaughtErrorSource & SignalledProcess;

/** Starts a daemon; `stopped` aborts when the process is told to stop before it has started. */
export type DaemonStart = (stopped: AbortSignal) => Promise<StoppableDaemon>;

/** What ends a running daemon. */
type DaemonEnd = { readonly signal: NodeJS.Signals } | { readonly failure: Error };

function nextEnd(
  daemon: StoppableDaemon,
  stopSignal: Promise<NodeJS.Signals>,
  uncaught: Promise<Error>,
): Promise<DaemonEnd> {
  const ends: Promise<DaemonEnd>[] = [
    stopSignal.then((signal) => ({ signal })),
    uncaught.then((failure) => ({ failure })),
  ];
  if (daemon.failure !== undefined) ends.push(daemon.failure.then((failure) => ({ failure })));
  return Promise.race(ends);
}

/**
 * Resolves with the daemon, or undefined when the stop signal came first. What was thrown outside a
 * task may be what the start waits for.
 */
async function startUnlessStopped(
  start: DaemonStart,
  stopSignal: Promise<NodeJS.Signals>,
  uncaught: Promise<Error>,
): Promise<StoppableDaemon | undefined> {
  const stop = new AbortController();
  const starting = start(stop.signal);
  const failed = uncaught.then((error) => {
    throw error;
  });
  const first = await Promise.race([starting, failed, stopSignal]);
  if (typeof first !== 'string') return first;
  stop.abort(new Error(`stopped by ${first}`));
  let late: StoppableDaemon | undefined;
  const settled = starting.then(
    (started) => void (late = started),
    () => undefined,
  );
  await settleWithin(new NodeClock(), settled, ABANDONED_START_TIMEOUT_MS);
  await late?.stop();
  return undefined;
}

/**
 * Starts a daemon and runs it until SIGTERM or SIGINT, then stops it in the
 * planned way; also when the daemon itself cannot go on, or an error was thrown
 * outside its tasks. Further signals: see {@link nextStopSignal}.
 */
export async function runDaemon(
  logger: Logger,
  start: DaemonStart,
  events: ProcessEvents = process,
): Promise<ExitCode> {
  const stopSignal = nextStopSignal(events);
  const uncaught = watchUncaughtErrors(logger, events);
  try {
    const daemon = await startUnlessStopped(start, stopSignal, uncaught);
    if (daemon === undefined) {
      logger.info('stopped while it started');
      return ExitCode.Success;
    }
    logger.info('daemon started', { startupMs: Math.round(process.uptime() * 1_000) });
    const end = await nextEnd(daemon, stopSignal, uncaught);
    if ('signal' in end) logger.info('stopping', { signal: end.signal });
    else logger.error('stopping', { reason: end.failure.message });
    if ('failure' in end) {
      await settleWithin(new NodeClock(), daemon.stop(), FAILED_STOP_TIMEOUT_MS);
      return ExitCode.Failure;
    }
    await daemon.stop();
    logger.info('stopped');
    return ExitCode.Success;
  } catch (error) {
    logger.error('daemon failed', {
      reason: error instanceof Error ? error.message : String(error),
    });
    return ExitCode.Failure;
  }
}

/** Runs a daemon that has the process to itself, and sees to it that the process ends with it. */
export async function runDaemonProcess(logger: Logger, start: DaemonStart): Promise<ExitCode> {
  const exitCode = await runDaemon(logger, start);
  enforceExit(logger, exitCode, process);
  return exitCode;
}
