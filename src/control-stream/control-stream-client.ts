/**
 * A daemon's end of the control stream. The daemon follows one controller at a
 * time; when that session ends, it selects the controller to follow next.
 */
import type { Stream } from '@most/types';
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import type { LivenessReport } from '../model/liveness-report.js';
import type { Logger } from '../observability/logger.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { Environment } from '../seams/environment.js';
import type {
  ConfigurationFreshness,
  ConfigurationSource,
} from '../settings/configuration-source.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import { SOFTWARE_VERSION } from '../software-version.js';
import { ClientMetrics } from './client-metrics.js';
import { NO_CONTROL_STREAM_FAULTS, type ControlStreamFaults } from './control-stream-faults.js';
import { DaemonState } from './daemon-state.js';
import type { SessionEnd } from './session-end.js';
import { SourceSelector } from './source-selector.js';
import type { SessionContext } from './session-context.js';
import { SourceProbe } from './source-probe.js';
import { SourceSession } from './source-session.js';
import { RETURN_CHECK_INTERVAL_MS } from './stream-timing.js';

/** The daemon's identity and its controllers, all of which a router's settings file contains. */
export interface ControlStreamClientConfiguration {
  /** Unique among the daemons of the cluster. */
  readonly name: string;
  readonly zone: string;
  readonly cluster: { readonly id: string; readonly key: string };
  readonly controllers: readonly ControllerEndpoint[];
}

/** Implements {@link ConfigurationSource} over the control stream. */
export class ControlStreamClient implements ConfigurationSource {
  readonly revisions: Stream<ConfigurationState>;
  readonly livenessReports: Stream<LivenessReport>;
  private readonly context: SessionContext;
  private readonly selector: SourceSelector;
  private readonly logger: Logger;
  private readonly stop = new AbortController();
  private session: SourceSession | undefined;
  /** Why the latest session with each controller ended, by member id. */
  private readonly lastEndReasons = new Map<string, SessionEnd>();
  private readonly finished: Promise<void>;

  private constructor(
    private readonly environment: Environment,
    configuration: ControlStreamClientConfiguration,
    telemetry: Telemetry,
    faults: ControlStreamFaults,
  ) {
    const { name, zone, cluster, controllers } = configuration;
    const metrics = new ClientMetrics(telemetry.registry, () => this.freshness().fresh);
    const daemonState = new DaemonState(faults, metrics);
    this.revisions = daemonState.revisions;
    this.livenessReports = daemonState.livenessReports;
    this.logger = telemetry.logger.child({ component: 'control-stream' });
    this.selector = new SourceSelector(
      controllers,
      faults.ignoreZone === true ? '' : zone,
      environment.random,
    );
    this.context = {
      environment,
      identity: { clusterId: cluster.id, clusterKey: cluster.key, name },
      zone,
      version: SOFTWARE_VERSION,
      daemonState,
      metrics,
      faults,
      incarnation: Math.max(1, Math.floor(environment.clock.wallTime())),
      reportSequence: 0,
    };
    this.finished = this.followControllers();
  }

  /**
   * Starts to follow a controller. `current()` is undefined until a controller
   * that is proven fresh has sent a configuration.
   */
  static start(
    environment: Environment,
    configuration: ControlStreamClientConfiguration,
    telemetry: Telemetry,
    faults: ControlStreamFaults = NO_CONTROL_STREAM_FAULTS,
  ): ControlStreamClient {
    return new ControlStreamClient(environment, configuration, telemetry, faults);
  }

  current(): ConfigurationState | undefined {
    return this.context.daemonState.held.current();
  }

  freshness(): ConfigurationFreshness {
    const { proof } = this.context.daemonState;
    const fresh = proof.isFresh(this.environment.clock.now());
    return { fresh, committedRevision: proof.committedRevision };
  }

  reportReplicaState(report: LivenessReport): void {
    if (this.context.daemonState.recordOwnLivenessReport(report))
      this.session?.sendLivenessReport(report);
  }

  /** Member id of the controller with which a session is open or being opened, if any. */
  get source(): string | undefined {
    return this.session?.endpoint.memberId;
  }

  async close(): Promise<void> {
    this.stop.abort(new Error('closed'));
    await this.session?.leave('closed');
    await this.finished;
  }

  private async followControllers(): Promise<void> {
    const { clock } = this.environment;
    while (!this.stop.signal.aborted) {
      const choice = this.selector.next(clock.now(), this.current() !== undefined);
      if (choice.waitMs > 0 && !(await this.pause(choice.waitMs))) return;
      const startedAt = clock.now();
      const end = await this.runSession(choice.endpoint, choice.tolerateStale);
      const now = clock.now();
      this.selector.record(choice.endpoint, end, now - startedAt, now);
    }
  }

  private async runSession(endpoint: ControllerEndpoint, stale: boolean): Promise<SessionEnd> {
    const session = new SourceSession(this.context, endpoint, stale);
    this.session = session;
    const sessionEnded = new AbortController();
    void this.returnWhenHealthy(session, sessionEnded.signal);
    const end = await session.run();
    sessionEnded.abort(new Error('session over'));
    this.session = undefined;
    this.context.metrics.sessionsEnded.inc({ reason: end });
    this.logEnd(session, end);
    return end;
  }

  /**
   * Logs the end of a session, unless it failed to start and the previous session
   * with the same controller ended for the same reason.
   */
  private logEnd({ endpoint, wasWelcomed, detail }: SourceSession, reason: SessionEnd): void {
    const controller = endpoint.memberId;
    const repeated = this.lastEndReasons.get(controller) === reason;
    this.lastEndReasons.set(controller, reason);
    if (repeated && !wasWelcomed) return;
    const message = wasWelcomed ? 'left controller' : 'cannot follow controller';
    this.logger.info(message, { controller, reason, ...(detail === undefined ? {} : { detail }) });
  }

  /** Probes the preferred controllers in turn and ends the session once one stays healthy. */
  private async returnWhenHealthy(
    session: SourceSession,
    sessionEnded: AbortSignal,
  ): Promise<void> {
    const preferred = this.selector.preferredOver(session.endpoint);
    const { clock, random } = this.environment;
    while (preferred.length > 0 && !sessionEnded.aborted) {
      for (const endpoint of preferred) {
        // Jitter keeps the daemons of a zone from returning at the same moment.
        const interval = RETURN_CHECK_INTERVAL_MS * (0.5 + random.nextFloat());
        await clock.sleep(interval, sessionEnded).catch(() => undefined);
        if (sessionEnded.aborted) return;
        const probe = new SourceProbe(this.context, endpoint);
        const cancelProbe = (): void => probe.cancel();
        sessionEnded.addEventListener('abort', cancelProbe, { once: true });
        const healthy = await probe.run();
        sessionEnded.removeEventListener('abort', cancelProbe);
        if (!healthy) continue;
        this.selector.recordHealthy(endpoint);
        return session.leave('returned');
      }
    }
  }

  /** Sleeps; resolves with false if the client is closed in the meantime. */
  private async pause(milliseconds: number): Promise<boolean> {
    try {
      await this.environment.clock.sleep(milliseconds, this.stop.signal);
      return true;
    } catch {
      return false;
    }
  }
}
