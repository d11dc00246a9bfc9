/**
 * The controller process: one voter or learner of the consensus group that replicates the
 * configuration, with the administration API that changes it and the control stream that
 * distributes it to daemons.
 */
import { createAdministrationHandler } from '../administration/administration-handler.js';
import type { ControllerConfiguration } from '../configuration/controller-configuration.js';
import { NO_FAULTS, type RaftFaults } from '../consensus/raft-faults.js';
import {
  NO_CONTROL_STREAM_FAULTS,
  type ControlStreamFaults,
} from '../control-stream/control-stream-faults.js';
import type { DriftwayError } from '../errors/driftway-error.js';
import type { Telemetry } from '../observability/telemetry.js';
import { AuthenticatedListener } from '../protocol/authenticated-listener.js';
import { ConnectionAcceptor, type ConnectionRoutes } from '../protocol/connection-acceptor.js';
import { formatAddress, type Address } from '../seams/address.js';
import type { DurableEnvironment } from '../seams/environment.js';
import type { HttpListener } from '../seams/http.js';
import { settleWithin } from '../seams/settle-within.js';
import { CONTROLLER_HTTP_OPTIONS, createControllerHandler } from './controller-http.js';
import { markDiscarded } from '../storage/discarded-folder.js';
import {
  startControllerCore,
  stopControllerCore,
  type ControllerCore,
  type ControllerCoreOptions,
} from './controller-core.js';
import { isRemoval } from './may-start-again.js';
import { resolveMemberIdentity } from './member-identity.js';
import { evaluateReadiness, type Readiness } from './controller-readiness.js';
import { PlatformListPoller } from './platform-list-poller.js';

/**
 * Maximum time that a planned stop waits for HTTP requests in flight, before it transfers leadership: a
 * caller that never sends the rest of its request, or a change without a quorum, must not prevent that.
 */
const REQUESTS_TIMEOUT_MS = 1_500;
/** Maximum time for the last responses to be written and taken. */
const RESPONSES_TIMEOUT_MS = 200;

/** The core, its listeners and the optional poller. */
interface ControllerParts extends ControllerCore {
  readonly messages: AuthenticatedListener;
  readonly http: HttpListener;
  readonly platformList: PlatformListPoller | undefined;
}

/** A started controller; create one with {@link ControllerDaemon.start}. */
export class ControllerDaemon {
  private stopping = false;
  private parts!: ControllerParts;
  private readonly environment: DurableEnvironment;
  private readonly configuration: ControllerConfiguration;
  private readonly telemetry: Telemetry;

  private constructor(private readonly coreOptions: ControllerCoreOptions) {
    this.environment = coreOptions.environment;
    this.configuration = coreOptions.configuration;
    this.telemetry = coreOptions.telemetry;
  }

  /**
   * Starts a controller on its data folder, which is created if missing. The address for messages is
   * held for as long as the folder is used: two processes on one folder would falsify its log, and
   * file locks don't have an effect on every platform.
   *
   * @throws DriftwayError when the folder cannot be read or an address cannot be listened on.
   */
  static async start(
    environment: DurableEnvironment,
    configuration: ControllerConfiguration,
    telemetry: Telemetry,
    faults: ControlStreamFaults = NO_CONTROL_STREAM_FAULTS,
    raftFaults: RaftFaults = NO_FAULTS,
  ): Promise<ControllerDaemon> {
    const { network } = environment;
    const messages = await AuthenticatedListener.bind(network, configuration.listen.messages);
    try {
      await environment.disk.createDirectory('.');
      const member = await resolveMemberIdentity(environment, configuration);
      const { cluster } = configuration;
      const daemon = new ControllerDaemon({
        environment,
        configuration,
        member,
        identity: { clusterId: cluster.id, clusterKey: cluster.key, name: member.memberId },
        logger: telemetry.logger.child({ component: 'controller', memberId: member.memberId }),
        telemetry,
        faults,
        raftFaults,
      });
      daemon.parts = await daemon.startParts(messages);
      environment.processor?.endStart();
      daemon.coreOptions.logger.info('controller started', {
        http: formatAddress(daemon.httpAddress),
        messages: formatAddress(daemon.messageAddress),
      });
      return daemon;
    } catch (error) {
      await messages.close();
      throw error;
    }
  }

  get httpAddress(): Address {
    return this.parts.http.address;
  }

  get messageAddress(): Address {
    return this.parts.messages.address;
  }

  /**
   * Resolves with the cause once the log has stopped because of an error, after which this
   * controller's state is no longer reliable. Stays pending when the log stops without an error.
   */
  get failure(): Promise<DriftwayError> {
    return new Promise((resolve) => {
      void this.parts.log.stopped.then((cause) => {
        if (cause !== undefined) resolve(cause);
      });
    });
  }

  /**
   * Planned stop: completes the HTTP requests in flight, redirects daemons to other controllers,
   * transfers leadership, then closes. Requests that wait for a quorum are answered with what is
   * known once the log has stopped. Further calls return at once.
   */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const { clock } = this.environment;
    const { messages, http, platformList, registration } = this.parts;
    const closed = Promise.all([registration.close(), http.close()]);
    await settleWithin(clock, closed, REQUESTS_TIMEOUT_MS);
    await platformList?.stop();
    await stopControllerCore(this.parts);
    await settleWithin(clock, closed, RESPONSES_TIMEOUT_MS);
    try {
      await this.discardIfRemoved();
    } finally {
      await messages.close();
    }
    this.coreOptions.logger.info('controller stopped');
  }

  /** Marks the folder of a removed member, so that the next start on it joins as a new member. */
  private async discardIfRemoved(): Promise<void> {
    if (this.configuration.automaticMembership === undefined) return;
    const cause = await this.parts.log.stopped;
    if (cause === undefined || !isRemoval(cause)) return;
    await markDiscarded(this.environment.disk);
    this.coreOptions.logger.info('data folder discarded', { reason: cause.message });
  }

  private async startParts(messages: AuthenticatedListener): Promise<ControllerParts> {
    const core = await startControllerCore(this.coreOptions);
    let http: HttpListener | undefined;
    try {
      this.serveMessages(messages, core);
      http = await this.listenHttp(core);
      const { registration: address } = this.configuration.listen;
      if (address !== undefined) await core.registration.listen(address);
      return { ...core, messages, http, platformList: this.startPlatformList(core) };
    } catch (error) {
      await http?.close();
      await stopControllerCore(core);
      throw error;
    }
  }

  private serveMessages(messages: AuthenticatedListener, core: ControllerCore): void {
    const { log, exchange, server, registration, quota } = core;
    const routes: ConnectionRoutes = {
      consensus: (connection, peer) => log.acceptConnection(connection, peer.name),
      exchange: (connection, peer) => exchange.serve(connection, peer),
      subscriber: (connection, peer) => server.serve(connection, peer),
      directory: (connection, peer) => registration.serveDirectory(connection, peer),
      ...(quota === undefined
        ? {}
        : { quota: (connection, peer) => quota.serve(connection, peer) }),
      enrolment: (connection) => registration.serveEnrolment(connection),
    };
    const { environment, identity, telemetry } = this.coreOptions;
    messages.serve(new ConnectionAcceptor(environment.clock, identity, routes, telemetry.registry));
  }

  private listenHttp(core: ControllerCore): Promise<HttpListener> {
    const { log, machine, daemons, server, evacuationOrders, quarantineOrders } = core;
    const { registration: routes, routeDocument } = core;
    const { configuration, environment, telemetry } = this;
    const { clock, network } = environment;
    const { bootstrapTokenHash } = configuration.administration;
    const administration = createAdministrationHandler({
      ...telemetry,
      log,
      machine,
      clock,
      forces: daemons,
      routes,
      members: log,
      evacuations: evacuationOrders,
      quarantine: quarantineOrders,
      routeDocument,
      quota: core.quota,
      ...(bootstrapTokenHash === undefined ? {} : { bootstrapTokenHash }),
    });
    const readReadiness = (): Readiness =>
      evaluateReadiness({
        stopping: this.stopping,
        sinceQuorumMs: log.status().sinceQuorumMs,
        stateAgeMs: server.stateAge,
      });
    const handler = createControllerHandler(telemetry.registry, readReadiness, administration);
    return network.listenHttp(configuration.listen.http, CONTROLLER_HTTP_OPTIONS, handler);
  }

  private startPlatformList(core: ControllerCore): PlatformListPoller | undefined {
    const { platformList } = this.configuration;
    if (platformList === undefined) return undefined;
    const { livenessReports, server, exchange, registration } = core;
    const onNewReports = (): void => {
      server.notify();
      exchange.notify();
    };
    const { unusable } = registration;
    return new PlatformListPoller(
      this.environment,
      platformList,
      livenessReports,
      onNewReports,
      unusable,
      this.telemetry,
    );
  }
}
