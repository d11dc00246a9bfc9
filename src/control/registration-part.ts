/**
 * The part of a controller that holds the replica directory and serves the route document: it
 * accepts registrations, distributes them to gateways and other controllers, and maintains the
 * group's members when automatic membership is configured.
 */
import type { Registry } from 'prom-client';
import type { RouteTracker } from '../administration/route-tracker.js';
import type { RaftNode } from '../consensus/raft-node.js';
import type { ControlStreamFaults } from '../control-stream/control-stream-faults.js';
import { observe } from '../control-stream/observe.js';
import { SharedReadBarrier } from '../control-stream/shared-read-barrier.js';
import { DirectoryClient } from '../directory/directory-client.js';
import { SubscriberKind } from '../directory/directory-messages.js';
import { DirectoryServer } from '../directory/directory-server.js';
import type { GatewayRoutes } from '../directory/gateway-routes.js';
import { DirectoryKind, ReplicaDirectory } from '../directory/replica-directory.js';
import {
  restoreReplicas,
  storeReplicas,
  type ReplicaStoreParts,
} from '../directory/replica-store.js';
import { RouteLagWatch } from '../directory/route-lag-watch.js';
import { VersionConfirmer } from '../directory/version-confirmer.js';
import type { EvacuationOrders } from '../evacuations/evacuation-orders.js';
import type { EvacuationRegister } from '../evacuations/evacuation-register.js';
import type { Logger } from '../observability/logger.js';
import { EntrySource, UnusableEntries, UnusableReason } from '../observability/unusable-entries.js';
import type { ZoneTraffic } from '../observability/zone-traffic.js';
import { logZoneTraffic } from '../observability/zone-traffic-log.js';
import type { LocalIdentity, RemoteIdentity } from '../protocol/handshake.js';
import { EvidenceIntake } from '../quarantine/evidence-intake.js';
import type { QuarantineOrders } from '../quarantine/quarantine-orders.js';
import type { QuarantineRegister } from '../quarantine/quarantine-register.js';
import { MAXIMUM_ROUTE_DOCUMENT_BYTES } from '../routes/route-document.js';
import type { RouteDocumentRegister } from '../routes/route-document-register.js';
import { VersionHistory } from '../routes/version-history.js';
import type { Address } from '../seams/address.js';
import type { DurableEnvironment } from '../seams/environment.js';
import type { HttpListenOptions, HttpListener } from '../seams/http.js';
import type { MessageConnection } from '../seams/message-connection.js';
import { settleWithin } from '../seams/settle-within.js';
import { enrolUntilMember, serveEnrolment } from './enrolment.js';
import { EvacuationEndpoint } from './evacuation-endpoint.js';
import { leaveIfReplaced, maintainMembership } from './membership-maintenance.js';
import { QuarantineEndpoint } from './quarantine-endpoint.js';
import { RegistrationEndpoint } from './registration-endpoint.js';

const LISTEN_OPTIONS: HttpListenOptions = {
  maximumBodyBytes: MAXIMUM_ROUTE_DOCUMENT_BYTES,
  maximumHeaderBytes: 16_384,
  requestTimeout: 10_000,
  maximumConnections: 2_000,
  idleTimeout: 20_000,
};
/** Interval of the checks for group members, silent replicas and gateways that lack routes. */
const MAINTENANCE_INTERVAL_MS = 250;
/** Maximum time that a planned stop waits until this member is removed from the group. */
const LEAVE_GROUP_TIMEOUT_MS = 1_000;
/**
 * Maximum wait until gateways confirm relayed entries. A gateway that takes longer is partitioned or
 * overloaded, and its connection is closed soon.
 */
const RELAY_TIMEOUT_MS = 2_000;
/**
 * A read barrier that confirms route versions is abandoned after this time and begun anew: it may
 * wait for a leader that is gone while another already leads.
 */
const CONFIRMATION_TIMEOUT_MS = 500;
/** Reported as the age while committed records are missing here, and the maximum of all ages. */
const UNKNOWN_AGE_MS = 1e9;

/** Dependencies and configuration of {@link RegistrationPart}. */
export interface RegistrationPartOptions {
  readonly environment: DurableEnvironment;
  readonly identity: LocalIdentity;
  readonly logger: Logger;
  readonly registry: Registry;
  readonly traffic: ZoneTraffic;
  readonly log: RaftNode;
  readonly register: RouteDocumentRegister;
  readonly evacuations: EvacuationRegister;
  readonly evacuationOrders: EvacuationOrders;
  readonly quarantine: QuarantineRegister;
  readonly quarantineOrders: QuarantineOrders;
  readonly faults: ControlStreamFaults;
  readonly zone: string;
  readonly compressBetweenZones: boolean;
  /** This controller's `host:port` for internal messages. */
  readonly ownAddress: string;
  /** `host:port` of the controllers to enrol with; absent when operators manage the members. */
  readonly seeds?: readonly string[];
}

/** Serves from construction on; call {@link RegistrationPart.restore} once before listening. */
export class RegistrationPart implements RouteTracker {
  private readonly directory: ReplicaDirectory;
  private readonly server: DirectoryServer;
  private readonly client: DirectoryClient;
  private readonly endpoint: RegistrationEndpoint;
  /** Counts the unusable entries of other writers that this controller received. */
  readonly unusable: UnusableEntries;
  private readonly routeHistory = new VersionHistory();
  private readonly routeLag: RouteLagWatch;
  private readonly stopped = new AbortController();
  private listener: HttpListener | undefined;
  private storing: Promise<void> | undefined;

  constructor(private readonly options: RegistrationPartOptions) {
    const { environment, identity, logger, log, register, zone, ownAddress } = options;
    const { evacuations, evacuationOrders, quarantine, quarantineOrders, traffic } = options;
    const { clock } = environment;
    this.directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
    this.unusable = new UnusableEntries({ clock, logger, registry: options.registry });
    const intake = new EvidenceIntake({
      orders: quarantineOrders,
      register: quarantine,
      logger,
    });
    this.server = new DirectoryServer({
      clock,
      directory: this.directory,
      document: () => register.current(),
      evacuations: () => evacuations.all(),
      quarantine,
      onCrashEvidence: (change) => intake.submit(change),
      members: () => log.status().members,
      ownName: identity.name,
      ownZone: zone,
      compressBetweenZones: options.compressBetweenZones,
      routeHistory: this.routeHistory,
      registry: options.registry,
      onUnreadable: (subscriber) =>
        this.unusable.note(EntrySource.DirectoryStream, UnusableReason.Unreadable, { subscriber }),
      otherGateways: () => this.client.knownGateways,
      ageMs: () => this.ageMs(),
      confirmer: this.createConfirmer(),
    });
    this.client = new DirectoryClient({
      environment,
      identity,
      subscriberKind: SubscriberKind.Controller,
      zone,
      directory: this.directory,
      unusable: this.unusable,
      logger,
      traffic,
      ownAddress,
      relay: () => this.relay(),
    });
    const { directory, server } = this;
    this.endpoint = new RegistrationEndpoint({
      log,
      register,
      directory,
      server,
      evacuations: new EvacuationEndpoint(evacuationOrders),
      quarantine: new QuarantineEndpoint(quarantineOrders),
      unusable: this.unusable,
      logger,
    });
    this.routeLag = new RouteLagWatch({
      clock,
      logger,
      gateways: () => server.gatewayRoutes(),
      version: () => this.routeVersion,
    });
    this.recordRouteVersion();
    observe(register.changes, () => {
      this.recordRouteVersion();
      server.notify();
    });
    observe(evacuations.changes, () => server.notify());
    observe(quarantine.changes, () => server.notify());
    observe(directory.changes, () => server.notify());
    void this.runMaintenance();
    void logZoneTraffic({ clock, logger, traffic, stopped: this.stopped.signal });
    if (options.seeds !== undefined) this.startMembership(options.seeds);
  }

  /** Restores the replicas from disk, then stores changes in the background until stopped. */
  async restore(): Promise<void> {
    const { environment, logger } = this.options;
    const { clock, disk } = environment;
    const stopped = this.stopped.signal;
    const { directory, unusable } = this;
    const storeParts: ReplicaStoreParts = { disk, clock, directory, unusable, logger, stopped };
    await restoreReplicas(storeParts);
    this.storing = storeReplicas(storeParts);
  }

  /**
   * Opens the registration listener.
   *
   * @throws ConnectionError when the address cannot be listened on.
   */
  async listen(address: Address): Promise<void> {
    const { network } = this.options.environment;
    this.listener = await network.listenHttp(address, LISTEN_OPTIONS, (request) =>
      this.endpoint.handle(request),
    );
  }

  serveDirectory(connection: MessageConnection, peer: RemoteIdentity): Promise<void> {
    return this.server.serve(connection, peer);
  }

  serveEnrolment(connection: MessageConnection): Promise<void> {
    return serveEnrolment(this.options.log, connection, this.options.logger);
  }

  /**
   * First step of a planned stop: accepts no more calls, and under automatic membership leaves a
   * group in which another member has or can take its place.
   */
  async close(): Promise<void> {
    this.server.stop();
    const { log, environment, seeds } = this.options;
    if (seeds !== undefined) {
      const leaving = leaveIfReplaced(log).catch(() => undefined);
      await settleWithin(environment.clock, leaving, LEAVE_GROUP_TIMEOUT_MS);
    }
    await this.listener?.close();
  }

  /**
   * Second step of a planned stop, after {@link RegistrationPart.close}: ends the background tasks;
   * the data folder is no longer written to.
   */
  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    await this.client.stop();
    await this.storing;
  }

  private startMembership(seeds: readonly string[]): void {
    const { environment, identity, logger, log, ownAddress } = this.options;
    const stopped = this.stopped.signal;
    void maintainMembership(environment.clock, log, logger, stopped);
    void enrolUntilMember({
      environment,
      identity,
      logger,
      log,
      address: ownAddress,
      controllers: () => [...new Set([...seeds, ...this.memberAddresses()])],
      stopped,
    });
  }

  private memberAddresses(): readonly string[] {
    return this.options.log.status().members.map(({ address }) => address);
  }

  private createConfirmer(): VersionConfirmer {
    const { environment, registry, log, faults } = this.options;
    const { clock } = environment;
    return new VersionConfirmer({
      clock,
      barrier: new SharedReadBarrier(log, clock, faults, CONFIRMATION_TIMEOUT_MS),
      version: () => this.routeVersion,
      registry,
    });
  }

  /**
   * Waits until all gateways that follow this controller hold its current entries; resolves to false
   * after {@link RELAY_TIMEOUT_MS}.
   */
  private relay(): Promise<boolean> {
    return this.server.waitForConfirmations(
      this.directory.position,
      RELAY_TIMEOUT_MS,
      ({ gatewaysMissing }) => gatewaysMissing === 0,
    );
  }

  get routeVersion(): number | undefined {
    return this.options.register.current()?.version;
  }

  gatewayRoutes(): readonly GatewayRoutes[] {
    return this.server.gatewayRoutes();
  }

  private recordRouteVersion(): void {
    const document = this.options.register.current();
    if (document === undefined) return;
    this.routeHistory.record(document.version, this.options.environment.clock.now());
  }

  /**
   * Time since a quorum was last heard, directly or through the leader, for `StatusMessage.ageMs`;
   * {@link UNKNOWN_AGE_MS} while committed records are missing here.
   */
  private ageMs(): number {
    const { sinceQuorumMs, knownCommitIndex, appliedIndex } = this.options.log.status();
    const lacksRecords = appliedIndex < knownCommitIndex;
    const age = lacksRecords ? UNKNOWN_AGE_MS : sinceQuorumMs;
    return Math.min(age, UNKNOWN_AGE_MS);
  }

  private async runMaintenance(): Promise<void> {
    const { clock } = this.options.environment;
    const stopped = this.stopped.signal;
    while (!stopped.aborted) {
      this.client.setMembers(this.memberAddresses());
      this.directory.forgetSilent();
      this.routeLag.check();
      await clock.sleep(MAINTENANCE_INTERVAL_MS, stopped).catch(() => undefined);
    }
  }
}
