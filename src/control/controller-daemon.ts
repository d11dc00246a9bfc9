/**
 * The control daemon: one member of the group that agrees on the configuration,
 * the administration API over it, and the stream that puts it in force.
 */
import { createAdministrationHandler } from '../administration/administration-handler.js';
import type { ControllerConfiguration } from '../configuration/controller-configuration.js';
import { IncarnationMismatchError, MemberRetiredError } from '../consensus/consensus-errors.js';
import { NO_FAULTS, type RaftFaults } from '../consensus/raft-faults.js';
import { RaftNode } from '../consensus/raft-node.js';
import type { ReplicatedLogMember, StateMachine } from '../consensus/replicated-log.js';
import { SectionTag, SectionedStateMachine } from '../consensus/sectioned-state-machine.js';
import {
  NO_CONTROL_STREAM_FAULTS,
  type ControlStreamFaults,
} from '../control-stream/control-stream-faults.js';
import { ControlStreamServer } from '../control-stream/control-stream-server.js';
import { ControllerExchange } from '../control-stream/controller-exchange.js';
import { DaemonDirectory } from '../control-stream/daemon-directory.js';
import { SignBoard } from '../control-stream/sign-board.js';
import { CONNECT_TIMEOUT_MS } from '../control-stream/stream-timing.js';
import type { DriftwayError } from '../errors/driftway-error.js';
import type { Logger } from '../observability/logger.js';
import type { Telemetry } from '../observability/telemetry.js';
import {
  AuthenticatedListener,
  type ConnectionRoutes,
} from '../protocol/authenticated-listener.js';
import { dial } from '../protocol/dial.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { formatAddress, type Address } from '../seams/address.js';
import type { DurableEnvironment } from '../seams/environment.js';
import type { HttpListener } from '../seams/http.js';
import { ConfigurationStateMachine } from '../settings/configuration-state-machine.js';
import { CONTROLLER_HTTP_OPTIONS, createControllerHandler } from './controller-http.js';
import { markDiscarded } from '../storage/discarded-folder.js';
import { settleIdentity, type MemberIdentity } from './member-identity.js';
import { RegistrationPart } from './registration-part.js';
import { RouteDocumentRegister } from '../routes/route-document-register.js';
import { judgeReadiness, type Readiness } from './controller-readiness.js';
import { PlatformListPoller } from './platform-list-poller.js';

/** The parts that hold the controller's state. */
interface ControllerCore {
  readonly log: RaftNode;
  readonly machine: ConfigurationStateMachine;
  readonly daemons: DaemonDirectory;
  readonly signs: SignBoard;
  readonly server: ControlStreamServer;
  readonly exchange: ControllerExchange;
  readonly registration: RegistrationPart;
}

/** All running parts. */
interface ControllerParts extends ControllerCore {
  readonly messages: AuthenticatedListener;
  readonly http: HttpListener;
  readonly platformList: PlatformListPoller | undefined;
}

/** A running controller. */
export class ControllerDaemon {
  private stopping = false;
  private parts!: ControllerParts;
  private readonly logger: Logger;
  private readonly identity: LocalIdentity;

  private constructor(
    private readonly environment: DurableEnvironment,
    private readonly configuration: ControllerConfiguration,
    private readonly member: MemberIdentity,
    private readonly telemetry: Telemetry,
    private readonly faults: ControlStreamFaults,
    private readonly raftFaults: RaftFaults,
  ) {
    const { cluster } = configuration;
    const { memberId } = member;
    this.identity = { clusterId: cluster.id, clusterKey: cluster.key, name: memberId };
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
    faults: ControlStreamFaults = NO_CONTROL_STREAM_FAULTS,
    raftFaults: RaftFaults = NO_FAULTS,
  ): Promise<ControllerDaemon> {
    await environment.disk.createDirectory('.');
    const member = await settleIdentity(environment, configuration);
    const daemon = new ControllerDaemon(
      environment,
      configuration,
      member,
      telemetry,
      faults,
      raftFaults,
    );
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

  /** Resolves if the controller cannot vouch for its state any more, with the cause. */
  get failure(): Promise<DriftwayError> {
    return new Promise((resolve) => {
      void this.parts.log.stopped.then((cause) => {
        if (cause !== undefined) resolve(cause);
      });
    });
  }

  /**
   * Planned stop: answers the HTTP requests in flight, sends daemons to other
   * controllers, hands leadership over, then closes.
   */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const { messages, http, platformList, registration } = this.parts;
    await registration.close();
    await http.close();
    await platformList?.stop();
    await this.stopCore(this.parts);
    await messages.close();
    await this.discardIfRemoved();
    this.logger.info('controller stopped');
  }

  /** The next start on the folder of a removed member begins as a new one. */
  private async discardIfRemoved(): Promise<void> {
    if (this.configuration.automaticMembership === undefined) return;
    const cause = await this.parts.log.stopped;
    const isRemoved =
      cause instanceof MemberRetiredError || cause instanceof IncarnationMismatchError;
    if (!isRemoved) return;
    await markDiscarded(this.environment.disk);
    this.logger.info('data folder discarded', { reason: cause.message });
  }

  private async startParts(): Promise<ControllerParts> {
    const machine = new ConfigurationStateMachine();
    const register = new RouteDocumentRegister();
    const sections = new Map([[SectionTag.RouteDocument, register]]);
    const log = await this.startLog(new SectionedStateMachine(machine, sections));
    // Nothing is awaited between the log and what listens to the state machine.
    const core = this.startCore(log, machine, register);
    let messages: AuthenticatedListener | undefined;
    try {
      messages = await this.listenMessages(core);
      const http = await this.listenHttp(core);
      const { registration: address } = this.configuration.listen;
      if (address !== undefined) await core.registration.listen(address);
      return { ...core, messages, http, platformList: this.startPlatformList(core) };
    } catch (error) {
      await this.stopCore(core);
      await messages?.close();
      throw error;
    }
  }

  private startCore(
    log: RaftNode,
    machine: ConfigurationStateMachine,
    register: RouteDocumentRegister,
  ): ControllerCore {
    const { environment, identity, telemetry, faults } = this;
    const { clock } = environment;
    const daemons = new DaemonDirectory(clock, faults);
    const signs = new SignBoard(faults);
    const onNews = (): void => exchange.notify();
    const server = new ControlStreamServer(
      { clock, memberId: identity.name, feed: machine, log, daemons, signs, onNews, faults },
      telemetry,
    );
    const readMembers = (): readonly ReplicatedLogMember[] => log.status().members;
    const onSigns = (): void => server.notify();
    const exchange = new ControllerExchange(
      { environment, identity, readMembers, daemons, signs, onSigns, faults },
      telemetry,
    );
    const registration = this.startRegistration(log, register);
    return { log, machine, daemons, signs, server, exchange, registration };
  }

  private startRegistration(log: RaftNode, register: RouteDocumentRegister): RegistrationPart {
    const { environment, identity, configuration, logger } = this;
    const { automaticMembership, listen, zone } = configuration;
    return new RegistrationPart({
      environment,
      identity,
      logger,
      log,
      register,
      zone,
      ownAddress: formatAddress(listen.messages),
      ...(automaticMembership === undefined
        ? {}
        : { seeds: automaticMembership.seeds.map(formatAddress) }),
    });
  }

  /** Leadership is handed over while the daemons already follow other controllers. */
  private async stopCore({ log, server, exchange, registration }: ControllerCore): Promise<void> {
    await registration.stop();
    await server.stop();
    await log.close();
    await exchange.stop();
  }

  private startLog(stateMachine: StateMachine): Promise<RaftNode> {
    const { environment, configuration, identity, telemetry } = this;
    const { listen, automaticMembership, consensus } = configuration;
    const { memberId, initialMembers, join } = this.member;
    return RaftNode.start(
      environment,
      {
        clusterId: identity.clusterId,
        memberId,
        address: listen.messages,
        initialMembers,
        join,
        stateMachine,
        stopWhenRetired: automaticMembership !== undefined,
        timings: {
          electionTimeoutMinimum: consensus.electionTimeoutMs,
          electionTimeoutMaximum: 2 * consensus.electionTimeoutMs,
          firstElectionPart: consensus.firstElectionPart,
        },
        dial: (member) =>
          dial(environment, identity, {
            ...member,
            role: 'consensus',
            connectTimeout: CONNECT_TIMEOUT_MS,
          }),
        faults: this.raftFaults,
      },
      telemetry,
    );
  }

  private listenMessages(core: ControllerCore): Promise<AuthenticatedListener> {
    const { log, exchange, server, registration } = core;
    const routes: ConnectionRoutes = {
      consensus: (connection, peer) => log.acceptConnection(connection, peer.name),
      exchange: (connection, peer) => exchange.serve(connection, peer),
      subscriber: (connection, peer) => server.serve(connection, peer),
      directory: (connection, peer) => registration.serveDirectory(connection, peer),
      enrolment: (connection) => registration.serveEnrolment(connection),
    };
    const { environment, identity, configuration, telemetry } = this;
    const { messages } = configuration.listen;
    const { registry } = telemetry;
    return AuthenticatedListener.listen(environment, messages, identity, routes, registry);
  }

  private listenHttp({ log, machine, daemons, server }: ControllerCore): Promise<HttpListener> {
    const { configuration, environment, telemetry } = this;
    const { clock, network } = environment;
    const { bootstrapTokenHash } = configuration.administration;
    const administration = createAdministrationHandler({
      ...telemetry,
      log,
      machine,
      clock,
      forces: daemons,
      members: log,
      ...(bootstrapTokenHash === undefined ? {} : { bootstrapTokenHash }),
    });
    const readReadiness = (): Readiness =>
      judgeReadiness({
        stopping: this.stopping,
        sinceQuorumMs: log.status().sinceQuorumMs,
        stateAge: server.stateAge,
      });
    const handler = createControllerHandler(telemetry.registry, readReadiness, administration);
    return network.listenHttp(configuration.listen.http, CONTROLLER_HTTP_OPTIONS, handler);
  }

  private startPlatformList(core: ControllerCore): PlatformListPoller | undefined {
    const { platformList } = this.configuration;
    if (platformList === undefined) return undefined;
    const { signs, server, exchange } = core;
    const onSigns = (): void => {
      server.notify();
      exchange.notify();
    };
    return new PlatformListPoller(this.environment, platformList, signs, onSigns, this.telemetry);
  }
}
