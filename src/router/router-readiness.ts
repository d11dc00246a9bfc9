/** Whether a router takes new queries, and why not. */
import type { Logger } from '../observability/logger.js';
import type { ConfigurationSource } from '../settings/configuration-source.js';
import { refusedNotRun } from './query-error.js';
import type { ServiceRuntime } from './service-runtime.js';

/** When to come back to a router that is starting, stopping or cut off. Milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Reasons not to take a query. */
export type NotReadyReason = 'stopping' | 'no_configuration' | 'no_reports' | 'stale_settings';

const REFUSAL_MESSAGES: Readonly<Record<NotReadyReason, string>> = {
  stopping: 'this router is stopping',
  no_configuration: 'this router has no configuration yet',
  no_reports: 'this router has not asked the replicas for their reports yet',
  stale_settings: 'this router cannot tell whether its settings are still in force',
};

/** State of one router. */
export class RouterReadiness {
  private stopping = false;
  private hasConfiguration = false;
  private hasPolledReplicas = false;
  private lastLoggedIsFresh = true;

  constructor(
    private readonly source: ConfigurationSource,
    private readonly logger: Logger,
  ) {}

  markConfigured(): void {
    this.hasConfiguration = true;
  }

  markReplicasPolled(): void {
    this.hasPolledReplicas = true;
  }

  markStopping(): void {
    this.stopping = true;
  }

  get isStopping(): boolean {
    return this.stopping;
  }

  /** Why the router as a whole takes no query; undefined when it does. For `/readyz`. */
  notReadyReason(): NotReadyReason | undefined {
    if (this.stopping) return 'stopping';
    if (!this.hasConfiguration) return 'no_configuration';
    return this.hasPolledReplicas ? undefined : 'no_reports';
  }

  /** Why a query of `service` is not taken; undefined when it is. */
  queryRefusalReason(service: ServiceRuntime | undefined): NotReadyReason | undefined {
    const reason = this.notReadyReason();
    if (reason !== undefined && reason !== 'no_reports') return reason;
    const isRefusing = service?.settings.staleSettings === 'refuse';
    return isRefusing && !this.checkFreshness() ? 'stale_settings' : undefined;
  }

  /** Whether the settings are fresh; logs every change. */
  checkFreshness(): boolean {
    const { fresh, committedRevision } = this.source.freshness();
    if (fresh !== this.lastLoggedIsFresh) {
      this.lastLoggedIsFresh = fresh;
      const message = fresh ? 'settings are fresh again' : 'settings are stale';
      this.logger.warn(message, { committedRevision });
    }
    return fresh;
  }
}

/** The refusal for a reason. */
export function notReadyError(reason: NotReadyReason): ReturnType<typeof refusedNotRun> {
  return refusedNotRun(REFUSAL_MESSAGES[reason], RETRY_AFTER_MS);
}
