/**
 * The controller's side of the connections over which gateways request tokens of tenants. The leader
 * is the quota owner only while it has recently heard from a quorum, because no other leader can
 * have been elected then.
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { ReplicatedLog, ReplicatedLogStatus } from '../consensus/replicated-log.js';
import { SilenceGuard } from '../control-stream/silence-guard.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { RemoteIdentity } from '../protocol/handshake.js';
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import { isProtocolViolation } from '../protocol/protocol-violation.js';
import { readRouteDocument } from '../routes/read-route-document.js';
import type { RouteDocumentRegister } from '../routes/route-document-register.js';
import type { Clock } from '../seams/clock.js';
import type { MessageConnection } from '../seams/message-connection.js';
import { LimitWarnings } from './limit-warnings.js';
import { packResponse, readRequests } from './quota-frames.js';
import {
  QUOTA_CODEC,
  type QuotaMessage,
  type TokenRequest,
  type TokenResponse,
} from './quota-messages.js';
import { QuotaServerMetrics } from './quota-metrics.js';
import { QuotaOwner } from './quota-owner.js';
import type { UsageCounts } from './tenant-usage.js';
import { isLimited, type Tenant } from './tenant.js';

/**
 * Fraction of the minimum election timeout for which a leader remains the owner without hearing from
 * a quorum; below 1, so that it stops before the members elect another leader.
 */
const OWNERSHIP_FRACTION = 0.75;
/** A connection without frames for this long is closed; an idle gateway sends a round every second. */
const MAXIMUM_SILENCE_MS = 15_000;
/** Documents that follow each other more quickly are not all read: reading a long one takes some 20 ms. */
const MINIMUM_READ_INTERVAL_MS = 250;
/** Maximum number of waiting requests in a token request that doesn't identify them. */
const MAXIMUM_WAITING = 100_000;

/** Usage of a tenant's limit over about the last window. */
export interface TenantUsageReport extends UsageCounts {
  readonly tenant: Tenant;
}

/** Dependencies and settings of a {@link QuotaServer}. */
export interface QuotaServerOptions {
  readonly clock: Clock;
  readonly settings: QuotaSettings;
  /** Minimum election timeout of the controllers, in milliseconds. */
  readonly electionTimeoutMs: number;
  readonly log: Pick<ReplicatedLog, 'status'>;
  readonly register: RouteDocumentRegister;
  readonly telemetry: Telemetry;
}

/** Serves gateways at one controller; responds with a redirect while this controller isn't the owner. */
export class QuotaServer {
  private readonly owner: QuotaOwner;
  private readonly metrics: QuotaServerMetrics;
  private tenants: ReadonlyMap<string, Tenant> = new Map();
  /** Version of the route document that {@link tenants} is of; undefined before the first. */
  private tenantsVersion: number | undefined;
  private tenantsReadAt = -Infinity;
  /** Term in which this controller last became the owner; undefined before the first time. */
  private ownedTerm: number | undefined;

  constructor(private readonly options: QuotaServerOptions) {
    const { clock, settings, telemetry } = options;
    const warnings = new LimitWarnings(clock, telemetry.logger);
    this.owner = new QuotaOwner({
      clock,
      settings,
      findTenant: (name) => this.tenants.get(name),
      onLimitReached: ({ name }) => warnings.warn(name),
    });
    this.metrics = new QuotaServerMetrics(telemetry.registry, {
      isOwner: () => this.isOwner(options.log.status()),
      tenants: () => this.owner.tenantCount,
      reservations: () => this.owner.reservationCount,
    });
  }

  /** Member id of the owner as far as this controller knows; undefined when it knows none. */
  get ownerId(): string | undefined {
    const status = this.options.log.status();
    return this.isOwner(status) ? status.memberId : status.leaderId;
  }

  /**
   * Usage of the tenants with a limit, in the order of the document; undefined unless this
   * controller is the owner.
   */
  usage(): readonly TenantUsageReport[] | undefined {
    if (!this.isOwner(this.options.log.status())) return undefined;
    this.refreshTenants();
    const limited = [...this.tenants.values()].filter(isLimited);
    return limited.map((tenant) => ({ tenant, ...this.owner.usageOf(tenant.name) }));
  }

  /** The settings under which limits are enforced. */
  get settings(): QuotaSettings {
    return this.options.settings;
  }

  /** Serves one gateway until its connection closes. */
  async serve(connection: MessageConnection, peer: RemoteIdentity): Promise<void> {
    const guard = new SilenceGuard(this.options.clock, connection, MAXIMUM_SILENCE_MS);
    void guard.run();
    try {
      for (;;) {
        const frame = await connection.receive();
        if (frame === undefined) return;
        guard.recordReceived();
        const response = QUOTA_CODEC.encodeBatch(await this.handleFrame(frame, peer.name));
        this.metrics.frames.inc();
        this.metrics.bytes.inc(frame.length + response.length);
        await connection.send(response);
      }
    } catch (error) {
      if (!isProtocolViolation(error)) return;
      const reason = String(error);
      this.options.telemetry.logger.warn('quota connection closed: protocol violation', {
        gateway: peer.name,
        reason,
      });
    }
  }

  private async handleFrame(frame: Uint8Array, gateway: string): Promise<QuotaMessage[]> {
    const [round, ...messages] = QUOTA_CODEC.decodeBatch(frame, gateway);
    if (round?.kind !== 'round') {
      throw new MalformedMessageError(
        'serve gateway',
        gateway,
        'expected a frame that starts with a round message',
      );
    }
    const requests = readRequests(messages, gateway);
    for (const request of requests) this.validateRequest(request, gateway);
    await this.collectReports(requests);
    const status = this.options.log.status();
    if (!this.isOwner(status)) return [{ kind: 'redirect', owner: this.leaderAddress(status) }];
    this.startOwnershipIfNew(status.term);
    this.refreshTenants();
    return [
      { kind: 'answered', round: round.round },
      ...requests.flatMap((request) => packResponse(this.handleRequest(request), request)),
    ];
  }

  /** Delays the first decisions of a new owner, so that it knows the reservations that gateways report. */
  private async collectReports(requests: readonly TokenRequest[]): Promise<void> {
    const status = this.options.log.status();
    if (!this.isOwner(status)) return;
    this.startOwnershipIfNew(status.term);
    const { collectingMs } = this.owner;
    if (collectingMs === 0) return;
    for (const request of requests) this.owner.restoreReservations(request);
    await this.options.clock.sleep(collectingMs);
  }

  private validateRequest(request: TokenRequest, gateway: string): void {
    const { spent, returned, waiting, ahead, refused, refusedWithoutOwner, callers } = request;
    const counts = [spent, returned, waiting, ahead, refused, refusedWithoutOwner];
    if (counts.some((count) => count < 0)) {
      throw new MalformedMessageError(
        'serve gateway',
        gateway,
        'expected counts of 0 or more in a token request',
      );
    }
    if (callers === undefined ? waiting > MAXIMUM_WAITING : callers.length !== waiting) {
      throw new MalformedMessageError(
        'serve gateway',
        gateway,
        `expected a caller for each of ${waiting} waiting requests, received ${callers?.length ?? 0}`,
      );
    }
  }

  private handleRequest(request: TokenRequest): TokenResponse {
    const response = this.owner.handleRequest(request);
    const admitted = Math.min(request.waiting, response.granted);
    this.metrics.requests.inc({ result: 'granted' }, admitted);
    this.metrics.requests.inc({ result: 'refused' }, request.waiting - admitted);
    this.metrics.requests.inc({ result: 'used_before' }, request.spent);
    return response;
  }

  private isOwner({ role, sinceQuorumMs }: ReplicatedLogStatus): boolean {
    return role === 'leader' && sinceQuorumMs < this.options.electionTimeoutMs * OWNERSHIP_FRACTION;
  }

  /**
   * Within one term no other controller can have granted tokens, so the accounts stay valid until
   * the term changes, even if this controller wasn't the owner for a while in between.
   */
  private startOwnershipIfNew(term: number): void {
    if (this.ownedTerm === term) return;
    this.ownedTerm = term;
    this.owner.startOwnership();
    this.options.telemetry.logger.info('quota ownership acquired', { term });
  }

  private leaderAddress({ leaderId, memberId, members }: ReplicatedLogStatus): string {
    if (leaderId === undefined || leaderId === memberId) return '';
    return members.find((member) => member.memberId === leaderId)?.address ?? '';
  }

  /**
   * Reads the limits of the document in force, if they are of another one. Only the owner needs them, and
   * only when it is asked: a controller that starts applies hundreds of documents in a row.
   */
  private refreshTenants(): void {
    const { clock, register } = this.options;
    const document = register.current();
    if (document === undefined || document.version === this.tenantsVersion) return;
    if (clock.now() - this.tenantsReadAt < MINIMUM_READ_INTERVAL_MS) return;
    this.tenantsVersion = document.version;
    this.tenantsReadAt = clock.now();
    try {
      const { tenants = [] } = readRouteDocument(document.content);
      this.tenants = new Map(tenants.map(({ keys: _keys, ...tenant }) => [tenant.name, tenant]));
    } catch (error) {
      const fields = { version: document.version, reason: String(error) };
      this.options.telemetry.logger.error(
        'limits of tenants unreadable in the route document',
        fields,
      );
    }
  }
}
