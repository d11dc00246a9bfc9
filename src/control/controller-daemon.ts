/**
 * The control daemon: one member of the group that agrees on the configuration,
 * the administration API over it, and the stream that puts it in force.
 */
import { createAdministrationHandler } from '../administration/administration-handler.js';
import type { ControllerConfiguration } from '../configuration/controller-configuration.js';
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import { ControlStreamServer } from '../control-stream/control-stream-server.js';
import { ControllerExchange } from '../control-stream/controller-exchange.js';
import { DaemonDirectory } from '../control-stream/daemon-directory.js';
import { SignBoard } from '../control-stream/sign-board.js';
import { QUORUM_LEASE_MS } from '../control-stream/stream-timing.js';
import type { Logger } from '../observability/logger.js';
import type { Telemetry } from '../observability/telemetry.js';
import { AuthenticatedListener } from '../protocol/authenticated-listener.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { formatAddress, type Address } from '../seams/address.js';
import type { DurableEnvironment } from '../seams/environment.js';
import type { HttpListener } from '../seams/http.js';
import { ConfigurationStateMachine } from '../settings/configuration-state-machine.js';
import {
  CONTROLLER_HTTP_OPTIONS,
  createControllerHandler,
  type Readiness,
} from './controller-http.js';
import { PlatformListPoller } from './platform-list-poller.js';
import { SingleMemberLog } from './single-member-log.js';

/** The running parts, in the order in which they are started. */
interface ControllerParts {
  readonly log: ReplicatedLog;
  readonly server: ControlStreamServer;
  readonly exchange: ControllerExchange;
  readonly messages: AuthenticatedListener;
  readonly http: HttpListener;
  readonly platformList: PlatformListPoller | undefined;
}

/** A running controller. */
export class ControllerDaemon {
  private stopping = false;
  private parts!: ControllerParts;
  private readonly logger: Logger;

  private constructor(
    private readonly environment: DurableEnvironment,
    private readonly configuration: ControllerConfiguration,
    private readonly telemetry: Telemetry,
  ) {
    const { memberId } = configuration;
    this.logger = telemetry.logger.child({ component: 'controller', memberId });
  }

  /**
   * Starts a controller on its data folder.
   *
   * @throws DriftwayError when the folder cannot be read or an address not be listened on.
   */
  static async start(
    environment: DurableEnvironment,
    configuration: ControllerConfiguration,
    telemetry: Telemetry,
  ): Promise<ControllerDaemon> {
    const daemon = new ControllerDaemon(environment, configuration, telemetry);
    daemon.parts = await daemon.startParts();
    daemon.logger.info('controller started', {
      http: formatAddress(daemon.httpAddress),
      messages: formatAddress(daemon.messageAddress),
    });
    return daemon;
  }

  get httpAddress(): Address {
    return this.parts.http.address;
  }

  get messageAddress(): Address {
    return this.parts.messages.address;
  }

  /**
   * Planned stop: answers the HTTP requests in flight, sends daemons to other
   * controllers, hands leadership over, then closes.
   */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const { log, server, exchange, messages, http, platformList } = this.parts;
    await http.close();
    await platformList?.stop();
    await server.stop();
    await exchange.stop();
    await log.close();
    await messages.close();
    this.logger.info('controller stopped');
  }

  private async startParts(): Promise<ControllerParts> {
    const { environment, configuration, telemetry } = this;
    const { clock, disk } = environment;
    const { memberId, listen, cluster } = configuration;
    const identity = { clusterId: cluster.id, clusterKey: cluster.key, name: memberId };
    const machine = new ConfigurationStateMachine();
    await disk.createDirectory('.');
    const address = formatAddress(listen.messages);
    const log = await SingleMemberLog.open(disk, machine, memberId, address);
    const daemons = new DaemonDirectory(clock);
    const signs = new SignBoard();
    const server = new ControlStreamServer(
      { clock, memberId, feed: machine, log, daemons, signs, onNews: () => exchange.notify() },
      telemetry,
    );
    const exchange: ControllerExchange = this.startExchange(identity, log, daemons, signs, server);
    const messages = await this.listenMessages(identity, server, exchange);
    const http = await this.listenHttp(log, machine, daemons);
    const platformList = this.startPlatformList(signs, () => {
      server.notify();
      exchange.notify();
    });
    return { log, server, exchange, messages, http, platformList };
  }

  private startExchange(
    identity: LocalIdentity,
    log: ReplicatedLog,
    daemons: DaemonDirectory,
    signs: SignBoard,
    server: ControlStreamServer,
  ): ControllerExchange {
    return new ControllerExchange(
      {
        environment: this.environment,
        identity,
        readMembers: () => log.status().members,
        daemons,
        signs,
        onSigns: () => server.notify(),
      },
      this.telemetry,
    );
  }

  private listenMessages(
    identity: LocalIdentity,
    server: ControlStreamServer,
    exchange: ControllerExchange,
  ): Promise<AuthenticatedListener> {
    const routes = {
      // A log of one member has no peers.
      consensus: async () => undefined,
      exchange: exchange.serve.bind(exchange),
      subscriber: server.serve.bind(server),
    };
    const { messages } = this.configuration.listen;
    const { registry } = this.telemetry;
    return AuthenticatedListener.listen(this.environment, messages, identity, routes, registry);
  }

  private listenHttp(
    log: ReplicatedLog,
    machine: ConfigurationStateMachine,
    daemons: DaemonDirectory,
  ): Promise<HttpListener> {
    const { environment, telemetry } = this;
    const { logger, registry } = telemetry;
    const { clock, network } = environment;
    const { bootstrapTokenHash } = this.configuration.administration;
    const administration = createAdministrationHandler({
      log,
      machine,
      clock,
      logger,
      registry,
      forces: daemons,
      ...(bootstrapTokenHash === undefined ? {} : { bootstrapTokenHash }),
    });
    const readReadiness = (): Readiness => this.readiness(log);
    const handler = createControllerHandler(registry, readReadiness, administration);
    return network.listenHttp(this.configuration.listen.http, CONTROLLER_HTTP_OPTIONS, handler);
  }

  private startPlatformList(signs: SignBoard, onSigns: () => void): PlatformListPoller | undefined {
    const { platformList } = this.configuration;
    if (platformList === undefined) return undefined;
    return new PlatformListPoller(this.environment, platformList, signs, onSigns, this.telemetry);
  }

  private readiness(log: ReplicatedLog): Readiness {
    if (this.stopping) return { ready: false, reason: 'stopping' };
    const { sinceQuorumMs } = log.status();
    if (sinceQuorumMs <= QUORUM_LEASE_MS) return { ready: true };
    return { ready: false, reason: `no quorum heard for ${Math.round(sinceQuorumMs)} ms` };
  }
}
