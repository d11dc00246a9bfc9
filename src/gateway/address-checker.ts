/**
 * Finds out which replica is at a contested address. It sends a health check to the address, whose
 * response names the replica. Addresses whose earlier replicas this gateway does not send to are not
 * checked.
 */
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import { sleepUntilTick } from '../seams/sleep-until-tick.js';
import { AddressCheckResult, type ContestedAddress } from './address-claims.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { ReplicaTarget } from './replica-target.js';
import type { ServiceTargets } from './service-targets.js';

const SCAN_INTERVAL_MS = 250;
/** Bounds the health checks of one scan so that they don't delay requests. */
const CHECKS_PER_SCAN = 12;
const CHECK_TIMEOUT_MS = 1_000;

/** Dependencies of {@link AddressChecker}. */
export interface AddressCheckerOptions {
  readonly clock: Clock;
  readonly targets: ServiceTargets;
  /** Whether this gateway sends requests to replicas of the service. */
  readonly sendsTo: (service: string) => boolean;
  /** Returns the health check path of a service. */
  readonly healthPath: (service: string) => string;
  /** Name of the response header with the id of the replica. */
  readonly replicaIdHeader: string;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  readonly stopped: AbortSignal;
}

/** Checks contested addresses at an interval. */
export class AddressChecker {
  constructor(private readonly options: AddressCheckerOptions) {}

  /** Runs until the gateway stops. */
  async run(): Promise<void> {
    const { clock, stopped } = this.options;
    while (!stopped.aborted) {
      this.checkDueAddresses();
      await sleepUntilTick(clock, SCAN_INTERVAL_MS, stopped).catch(() => undefined);
    }
  }

  private checkDueAddresses(): void {
    const { clock, targets, sendsTo } = this.options;
    const now = clock.now();
    const due: ContestedAddress[] = [];
    for (const contest of targets.contestedAddresses()) {
      if (due.length >= CHECKS_PER_SCAN) break;
      if (!contest.isCheckDue(now)) continue;
      if (contest.earlier.some(({ entry }) => sendsTo(entry.service))) due.push(contest);
    }
    for (const contest of due) void this.check(contest);
  }

  private async check(contest: ContestedAddress): Promise<void> {
    const { clock, targets, metrics, logger } = this.options;
    const { address, holder, earlier } = contest;
    const replicas = holder === undefined ? earlier : [...earlier, holder];
    const asked = replicas.at(-1 - (contest.recordCheck(clock.now()) % replicas.length));
    if (asked === undefined) return;
    const replicaId = await this.requestReplicaId(asked);
    const result = targets.decideAddress(contest, replicaId);
    metrics.addressChecks.inc({ result });
    if (result !== AddressCheckResult.GivenBack) return;
    logger.info('address given back', { address, replicaId, outdated: holder?.entry.replicaId });
  }

  /**
   * Sends a health check with the path of the replica's service; returns the id of the replica that
   * responds, whichever it is.
   */
  private async requestReplicaId(target: ReplicaTarget): Promise<string | undefined> {
    const { clock, healthPath, replicaIdHeader } = this.options;
    const abort = new AbortController();
    const timer = clock.setTimer(CHECK_TIMEOUT_MS, () => abort.abort());
    const { entry, client, address } = target;
    const path = healthPath(entry.service);
    const response = await client
      .request({ method: 'GET', path, headers: { host: address }, signal: abort.signal })
      .catch(() => undefined);
    timer.cancel();
    return response?.headers[replicaIdHeader];
  }
}
