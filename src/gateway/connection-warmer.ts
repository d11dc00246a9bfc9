/**
 * Keeps connections open to replicas that are rarely used or not used yet, so that requests don't
 * wait for a connection. It sends health checks to replicas that have just registered or whose idle
 * connections would soon be closed. Replicas in use get no checks.
 */
import type { Clock } from '../seams/clock.js';
import { chargeProcessor, ProcessorCause, type ProcessorMeter } from '../seams/processor-meter.js';
import type { RandomSource } from '../seams/random-source.js';
import { sleepUntilTick } from '../seams/sleep-until-tick.js';
import type { ReplicaTarget } from './replica-target.js';

const SCAN_INTERVAL_MS = 250;
/** Idle time after which a replica gets a health check. */
const IDLE_MS = 6_000;
/** Random addition to {@link IDLE_MS}, so that gateways don't all check at once. */
const IDLE_JITTER_MS = 1_500;
/** Checks without a request in between, after which a replica is not checked until it gets one. */
const MAXIMUM_UNUSED_CHECKS = 2;
/** Replicas beyond this number are connected to on demand. */
const MAXIMUM_TARGETS = 256;
/** Bounds the health checks of one scan so that they don't delay requests. */
const CHECKS_PER_SCAN = 12;
const CHECK_TIMEOUT_MS = 1_000;

/** Dependencies of {@link keepConnectionsWarm}. */
export interface ConnectionWarmerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly processor?: ProcessorMeter | undefined;
  readonly targets: () => Iterable<ReplicaTarget>;
  /**
   * Whether this gateway calls the service, with requests so short that connecting delays them
   * noticeably.
   */
  readonly shouldKeepWarm: (service: string) => boolean;
  /** Returns the health check path of a service. */
  readonly healthPath: (service: string) => string;
  /** Name of the response header with a replica's remaining warmup time. */
  readonly warmupHeader: string;
  readonly stopped: AbortSignal;
}

/** Scans replicas periodically until `stopped` is aborted. */
export async function keepConnectionsWarm(options: ConnectionWarmerOptions): Promise<void> {
  const { clock, processor, stopped } = options;
  while (!stopped.aborted) {
    chargeProcessor(processor, ProcessorCause.Connections, () => checkIdleReplicas(options));
    await sleepUntilTick(clock, SCAN_INTERVAL_MS, stopped).catch(() => undefined);
  }
}

function checkIdleReplicas(options: ConnectionWarmerOptions): void {
  const now = options.clock.now();
  let scanned = 0;
  let checked = 0;
  for (const target of options.targets()) {
    if (!options.shouldKeepWarm(target.entry.service)) continue;
    scanned += 1;
    if (scanned > MAXIMUM_TARGETS || checked >= CHECKS_PER_SCAN) return;
    const isDue = now >= target.nextWarmCheckAt && target.unusedChecks < MAXIMUM_UNUSED_CHECKS;
    if (!isDue || target.inFlight > 0) continue;
    if (target.isBackingOff(now) || target.isReplaced(now)) continue;
    checked += 1;
    target.unusedChecks += 1;
    target.nextWarmCheckAt = now + IDLE_MS + options.random.nextFloat() * IDLE_JITTER_MS;
    void checkHealth(options, target);
  }
}

/**
 * Sends a health check and records the warmup time from the response. The health status is ignored:
 * it lags behind what requests show.
 */
async function checkHealth(options: ConnectionWarmerOptions, target: ReplicaTarget): Promise<void> {
  const { clock, healthPath, warmupHeader } = options;
  const abort = new AbortController();
  const timer = clock.setTimer(CHECK_TIMEOUT_MS, () => abort.abort());
  const { entry, client, address } = target;
  const path = healthPath(entry.service);
  const attempt = target.begin(clock.now());
  const response = await client
    .request({ method: 'GET', path, headers: { host: address }, signal: abort.signal })
    .catch(() => undefined);
  const warmupMs = Number(response?.headers[warmupHeader] ?? 0);
  if (Number.isFinite(warmupMs)) target.recordWarmup(warmupMs, clock.now());
  target.end(attempt);
  timer.cancel();
}
