/**
 * Keeps a connection open to replicas that are used seldom or not yet, so that a
 * request need not wait for one: a replica that has just registered, or whose
 * connections would soon be closed because they rest. Replicas in use cost nothing.
 */
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaTarget } from './replica-target.js';

const SCAN_INTERVAL_MS = 250;
/** A replica that had no request for this long is asked for its health. */
const IDLE_MS = 6_000;
/** Spread of that, so that the gateways do not all ask at once. */
const IDLE_JITTER_MS = 1_500;
/** A replica that is not used between so many checks is let go. */
const MAXIMUM_UNUSED_CHECKS = 2;
/** Most replicas that are kept warm; further ones are connected to when they are needed. */
const MAXIMUM_TARGETS = 256;
/** Health checks of one look, so that they do not delay requests. */
const CHECKS_PER_SCAN = 12;
const CHECK_TIMEOUT_MS = 1_000;

/** What is kept warm. */
export interface ConnectionWarmerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly targets: () => Iterable<ReplicaTarget>;
  /** Whether the service is asked from here, by requests so short that a new connection is felt. */
  readonly shouldKeepWarm: (service: string) => boolean;
  /** Path of the health check of a service. */
  readonly healthPath: (service: string) => string;
  /** Name of the header by which a replica says how long it stays cold. */
  readonly warmupHeader: string;
  readonly stopped: AbortSignal;
}

/** Runs until stopped. */
export async function keepConnectionsWarm(options: ConnectionWarmerOptions): Promise<void> {
  const { clock, stopped } = options;
  while (!stopped.aborted) {
    checkIdleReplicas(options);
    await clock.sleep(SCAN_INTERVAL_MS, stopped).catch(() => undefined);
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
 * Whether the replica says that it is healthy decides nothing: that lags, and requests
 * show what counts. How long it stays cold is taken from the answer.
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
