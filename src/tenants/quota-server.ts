/**
 * The controller's end of the connections over which gateways get tokens of tenants. The leading
 * controller owns the tokens while it knows of a quorum: no other can have been elected then.
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { ReplicatedLog, ReplicatedLogStatus } from '../consensus/replicated-log.js';
import { observe } from '../control-stream/observe.js';
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
import { QUOTA_CODEC, type TokenRequestMessage, type QuotaMessage } from './quota-messages.js';
import { QuotaServerMetrics } from './quota-metrics.js';
import { QuotaOwner } from './quota-owner.js';
import type { UsageCounts } from './tenant-usage.js';
import { isLimited, type Tenant } from './tenant.js';

/**
 * Part of the shortest election timeout for which a leader owns the tokens without hearing a
 * quorum: shorter than the silence after which members elect another one.
 */
const OWNERSHIP_FRACTION = 0.75;
/** A gateway that sends nothing for so long is cut off; it sends a round a few seconds apart. Milliseconds. */
const MAXIMUM_SILENCE_MS = 15_000;

/** What was used of a tenant's limit in the last window. */
export interface TenantUsageReport extends UsageCounts {
  readonly tenant: Tenant;
}

/** What the server is made of. */
export interface QuotaServerOptions {
  readonly clock: Clock;
  readonly settings: QuotaSettings;
  /** The shortest. */
  readonly electionTimeoutMs: number;
  readonly log: Pick<ReplicatedLog, 'status'>;
  readonly register: RouteDocumentRegister;
  readonly telemetry: Telemetry;
}

/** See the module comment. */
export class QuotaServer {
  private readonly owner: QuotaOwner;
  private readonly metrics: QuotaServerMetrics;
  private tenants: ReadonlyMap<string, Tenant> = new Map();
  /** Term of the leadership whose tokens are granted here; undefined while none are. */
  private ownedTerm: number | undefined;

  constructor(private readonly options: QuotaServerOptions) {
    const { clock, settings, register, telemetry } = options;
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
    });
    this.updateTenants();
    observe(register.changes, () => this.updateTenants());
  }

  /** Who grants tokens, as this controller knows it; undefined while nobody is known to. */
  get ownerId(): string | undefined {
    const status = this.options.log.status();
    return this.isOwner(status) ? status.memberId : status.leaderId;
  }

  /** Of the last window, tenants with a limit in order; undefined at another controller than the owner. */
  usage(): readonly TenantUsageReport[] | undefined {
    if (!this.isOwner(this.options.log.status())) return undefined;
    const limited = [...this.tenants.values()].filter(isLimited);
    return limited.map((tenant) => ({ tenant, ...this.owner.usageOf(tenant.name) }));
  }

  /** By which limits are kept here. */
  get settings(): QuotaSettings {
    return this.options.settings;
  }

  /** Serves one gateway until its connection ends. */
  async serve(connection: MessageConnection, peer: RemoteIdentity): Promise<void> {
    const guard = new SilenceGuard(this.options.clock, connection, MAXIMUM_SILENCE_MS);
    void guard.run();
    try {
      for (;;) {
        const frame = await connection.receive();
        if (frame === undefined) return;
        guard.recordReceived();
        const response = QUOTA_CODEC.encodeBatch(this.handleFrame(frame, peer.name));
        this.metrics.frames.inc();
        this.metrics.bytes.inc(frame.length + response.length);
        await connection.send(response);
      }
    } catch (error) {
      if (!isProtocolViolation(error)) return;
      const reason = String(error);
      this.options.telemetry.logger.warn('quota connection refused', {
        gateway: peer.name,
        reason,
      });
    }
  }

  private handleFrame(frame: Uint8Array, gateway: string): QuotaMessage[] {
    const [round, ...messages] = QUOTA_CODEC.decodeBatch(frame, gateway);
    if (round?.kind !== 'round') {
      throw new MalformedMessageError('serve gateway', gateway, 'a frame without a round');
    }
    const requests = messages.map((ask) => this.validateRequest(ask, gateway));
    const status = this.options.log.status();
    if (!this.isOwner(status)) return [{ kind: 'redirect', owner: this.leaderAddress(status) }];
    this.startOwnershipIfNew(status.term);
    return [
      { kind: 'answered', round: round.round },
      ...requests.map((request) => this.handleRequest(request)),
    ];
  }

  private validateRequest(message: QuotaMessage, gateway: string): TokenRequestMessage {
    if (message.kind !== 'ask') {
      throw new MalformedMessageError('serve gateway', gateway, `unexpected ${message.kind}`);
    }
    const { spent, returned, waiting, ahead, refused, refusedWithoutOwner } = message;
    const counts = [spent, returned, waiting, ahead, refused, refusedWithoutOwner];
    if (counts.some((count) => count < 0)) {
      throw new MalformedMessageError('serve gateway', gateway, 'a count below zero');
    }
    return message;
  }

  private handleRequest(request: TokenRequestMessage): QuotaMessage {
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

  /** In the same term nobody else can have granted tokens, whatever passed in between. */
  private startOwnershipIfNew(term: number): void {
    if (this.ownedTerm === term) return;
    this.ownedTerm = term;
    this.owner.startOwnership();
    this.options.telemetry.logger.info('grants tokens of tenants', { term });
  }

  private leaderAddress({ leaderId, memberId, members }: ReplicatedLogStatus): string {
    if (leaderId === undefined || leaderId === memberId) return '';
    return members.find((member) => member.memberId === leaderId)?.address ?? '';
  }

  private updateTenants(): void {
    const document = this.options.register.current();
    if (document === undefined) return;
    try {
      const { tenants = [] } = readRouteDocument(document.content);
      this.tenants = new Map(tenants.map(({ keys: _keys, ...tenant }) => [tenant.name, tenant]));
    } catch (error) {
      const fields = { version: document.version, reason: String(error) };
      this.options.telemetry.logger.error('limits of tenants not understood', fields);
    }
  }
}
