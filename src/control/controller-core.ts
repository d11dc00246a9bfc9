/**
 * Starts and stops the stateful components of a controller together: the replicated log with its
 * state machines, and the servers that read from them.
 */
import type { ControllerConfiguration } from '../configuration/controller-configuration.js';
import type { RaftFaults } from '../consensus/raft-faults.js';
import { RaftNode } from '../consensus/raft-node.js';
import type { ReplicatedLogMember, StateMachine } from '../consensus/replicated-log.js';
import { SectionTag, SectionedStateMachine } from '../consensus/sectioned-state-machine.js';
import type { ControlStreamFaults } from '../control-stream/control-stream-faults.js';
import { ControlStreamServer } from '../control-stream/control-stream-server.js';
import { ControllerExchange } from '../control-stream/controller-exchange.js';
import { DaemonDirectory } from '../control-stream/daemon-directory.js';
import { LivenessReportTable } from '../control-stream/liveness-report-table.js';
import { EvacuationOrders } from '../evacuations/evacuation-orders.js';
import { EvacuationRegister } from '../evacuations/evacuation-register.js';
import type { Logger } from '../observability/logger.js';
import type { Telemetry } from '../observability/telemetry.js';
import { ZoneTraffic } from '../observability/zone-traffic.js';
import { dial } from '../protocol/dial.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { MeteredConnection } from '../protocol/metered-connection.js';
import { QuarantineOrders } from '../quarantine/quarantine-orders.js';
import { QuarantineRegister } from '../quarantine/quarantine-register.js';
import { RouteDocumentRegister } from '../routes/route-document-register.js';
import { formatAddress } from '../seams/address.js';
import { QuotaServer } from '../tenants/quota-server.js';
import type { DurableEnvironment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import { ConfigurationStateMachine } from '../settings/configuration-state-machine.js';
import type { MemberIdentity } from './member-identity.js';
import { RegistrationPart, type RegistrationPartOptions } from './registration-part.js';

/** Configuration and dependencies of {@link startControllerCore}. */
export interface ControllerCoreOptions {
  readonly environment: DurableEnvironment;
  readonly configuration: ControllerConfiguration;
  readonly member: MemberIdentity;
  readonly identity: LocalIdentity;
  readonly logger: Logger;
  readonly telemetry: Telemetry;
  readonly faults: ControlStreamFaults;
  readonly raftFaults: RaftFaults;
}

/** The running components. */
export interface ControllerCore {
  readonly log: RaftNode;
  readonly machine: ConfigurationStateMachine;
  readonly daemons: DaemonDirectory;
  readonly livenessReports: LivenessReportTable;
  readonly server: ControlStreamServer;
  readonly exchange: ControllerExchange;
  readonly registration: RegistrationPart;
  readonly routeDocument: RouteDocumentRegister;
  readonly evacuationOrders: EvacuationOrders;
  readonly quarantineOrders: QuarantineOrders;
  /** Undefined when the configuration has no tenant quotas. */
  readonly quota: QuotaServer | undefined;
}

/**
 * Starts the log, the servers and the registration part, then restores the stored replicas.
 *
 * @throws DriftwayError when the data folder cannot be read.
 */
export async function startControllerCore(options: ControllerCoreOptions): Promise<ControllerCore> {
  const machine = new ConfigurationStateMachine();
  const register = new RouteDocumentRegister();
  const evacuations = new EvacuationRegister();
  const quarantine = new QuarantineRegister();
  const sections = new Map<SectionTag, StateMachine>([
    [SectionTag.RouteDocument, register],
    [SectionTag.Evacuations, evacuations],
    [SectionTag.Quarantine, quarantine],
  ]);
  const traffic = new ZoneTraffic(options.configuration.zone, options.telemetry.registry);
  const log = await startLog(options, new SectionedStateMachine(machine, sections), traffic);
  // No await from here until every observer of the state machines is attached: they would miss
  // entries that the log applies in between.
  const evacuationOrders = createEvacuationOrders(options, log, evacuations);
  const { logger, environment } = options;
  const { clock } = environment;
  const quarantineOrders = new QuarantineOrders({ log, register: quarantine, clock, logger });
  const sectionState = { register, evacuations, evacuationOrders, quarantine, quarantineOrders };
  const replicatedState = { log, ...sectionState };
  const registration = startRegistration(options, replicatedState, traffic);
  const stream = startControlStream(options, log, machine);
  const quota = createQuotaServer(options, log, register);
  const parts = { log, machine, registration, evacuationOrders, quarantineOrders, quota };
  const core = { ...stream, ...parts, routeDocument: register };
  await registration.restore();
  return core;
}

/**
 * Stops the components. The control stream stops before the log, so that daemons already follow
 * other controllers when leadership is transferred.
 */
export async function stopControllerCore(core: ControllerCore): Promise<void> {
  const { log, server, exchange, registration } = core;
  await registration.stop();
  await server.stop();
  await log.close();
  await exchange.stop();
}

type ControlStreamParts = Pick<
  ControllerCore,
  'daemons' | 'livenessReports' | 'server' | 'exchange'
>;

function startControlStream(
  { environment, identity, telemetry, faults }: ControllerCoreOptions,
  log: RaftNode,
  machine: ConfigurationStateMachine,
): ControlStreamParts {
  const { clock } = environment;
  const daemons = new DaemonDirectory(clock, faults);
  const livenessReports = new LivenessReportTable(faults);
  const onUpdate = (): void => exchange.notify();
  const server = new ControlStreamServer(
    {
      clock,
      memberId: identity.name,
      feed: machine,
      log,
      daemons,
      livenessReports,
      onUpdate,
      faults,
    },
    telemetry,
  );
  const readMembers = (): readonly ReplicatedLogMember[] => log.status().members;
  const onLivenessReports = (): void => server.notify();
  const exchange = new ControllerExchange(
    {
      environment,
      identity,
      readMembers,
      daemons,
      livenessReports,
      onLivenessReports,
      faults,
    },
    telemetry,
  );
  return { daemons, livenessReports, server, exchange };
}

function createEvacuationOrders(
  { environment, configuration, logger }: ControllerCoreOptions,
  log: RaftNode,
  register: EvacuationRegister,
): EvacuationOrders {
  const knownZones = new Set(Object.keys(configuration.zones));
  const { clock } = environment;
  return new EvacuationOrders({ log, register, clock, knownZones, logger });
}

function createQuotaServer(
  { environment, configuration, logger, telemetry }: ControllerCoreOptions,
  log: RaftNode,
  register: RouteDocumentRegister,
): QuotaServer | undefined {
  const { tenants, consensus } = configuration;
  if (tenants.quota === undefined) return undefined;
  return new QuotaServer({
    clock: environment.clock,
    settings: tenants.quota,
    electionTimeoutMs: consensus.electionTimeoutMs,
    log,
    register,
    telemetry: { ...telemetry, logger },
  });
}

/** Replicated log, registers and orders that the registration part works on. */
type ReplicatedState = Pick<
  RegistrationPartOptions,
  'log' | 'register' | 'evacuations' | 'evacuationOrders' | 'quarantine' | 'quarantineOrders'
>;

function startRegistration(
  { environment, identity, configuration, logger, telemetry, faults }: ControllerCoreOptions,
  state: ReplicatedState,
  traffic: ZoneTraffic,
): RegistrationPart {
  const { automaticMembership, listen, zone, directory } = configuration;
  return new RegistrationPart({
    environment,
    identity,
    logger,
    registry: telemetry.registry,
    faults,
    traffic,
    ...state,
    zone,
    compressBetweenZones: directory.compressBetweenZones,
    ownAddress: formatAddress(listen.messages),
    ...(automaticMembership === undefined
      ? {}
      : { seeds: automaticMembership.seeds.map(formatAddress) }),
  });
}

/** Counts consensus traffic without a zone: log members do not know each other's zones. */
function meterConnection(connection: MessageConnection, traffic: ZoneTraffic): MessageConnection {
  return new MeteredConnection(connection, {
    kindOf: () => 'consensus',
    note: (note) => traffic.note('', note),
  });
}

function startLog(
  options: ControllerCoreOptions,
  stateMachine: StateMachine,
  traffic: ZoneTraffic,
): Promise<RaftNode> {
  const { environment, configuration, identity, member, telemetry, raftFaults } = options;
  const { listen, automaticMembership, consensus, storage } = configuration;
  return RaftNode.start(
    environment,
    {
      clusterId: identity.clusterId,
      ...member,
      address: listen.messages,
      stateMachine,
      stopWhenRetired: automaticMembership !== undefined,
      timings: {
        electionTimeoutMinimum: consensus.electionTimeoutMs,
        electionTimeoutMaximum: 2 * consensus.electionTimeoutMs,
        firstElectionPart: consensus.firstElectionPart,
      },
      limits: { capacityBytes: storage.capacityBytes },
      dial: async (peer, signal) => {
        // Short, as a machine that is powered off answers nothing, and may be back a moment later.
        const connectTimeout = consensus.electionTimeoutMs / 2;
        const target = { ...peer, role: 'consensus', connectTimeout, signal } as const;
        return meterConnection(await dial(environment, identity, target), traffic);
      },
      faults: raftFaults,
    },
    telemetry,
  );
}
