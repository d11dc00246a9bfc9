/** Serves the connections of roots at a leaf and runs their gathers. */
import type { CallerRequest } from '../gateway/caller-request.js';
import type { GatewayContext } from '../gateway/gateway-context.js';
import type { PartListener } from '../gateway/part-source.js';
import type { Logger } from '../observability/logger.js';
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import type { RemoteIdentity } from '../protocol/handshake.js';
import { fingerprintOf } from '../quarantine/request-fingerprint.js';
import type { RouteTable } from '../routes/route-table.js';
import type { HttpHeaders } from '../seams/http.js';
import type { MessageConnection } from '../seams/message-connection.js';
import {
  AGGREGATION_CODEC,
  type AggregationMessage,
  type GatherMessage,
  type RelayMessage,
  type RequestMessage,
  type SendTimeMessage,
} from './aggregation-messages.js';
import { readStrings } from './json-list.js';
import { GrantDelay } from './grant-delay.js';
import { LeafAdmission } from './leaf-admission.js';
import { LeafGather } from './leaf-gather.js';
import type { LeafSource } from './leaf-source.js';
import { sendOrClose } from './send-or-close.js';
import type { RelayedCall } from './source-planner.js';
import { TransitDelay } from './transit-delay.js';

/**
 * Limit of gathers in progress; more are declined, as a leaf this far behind could not help in
 * time.
 */
const MAXIMUM_GATHERS = 256;
const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies of {@link LeafServer}. */
export interface LeafServerOptions {
  readonly context: GatewayContext;
  readonly logger: Logger;
  /** The route table in force on this gateway; undefined before the first one. */
  readonly table: () => RouteTable | undefined;
  /** Creates the source through which a relay has leaves query the shards. */
  readonly relay: (request: CallerRequest, call: RelayedCall, listener: PartListener) => LeafSource;
}

function readHeaders(text: string, peer: string): HttpHeaders {
  const value: unknown = JSON.parse(text);
  const isObject = typeof value === 'object' && value !== null;
  if (isObject && Object.values(value).every((item) => typeof item === 'string')) {
    return value as HttpHeaders;
  }
  throw new MalformedMessageError(
    'read headers',
    peer,
    'expected a JSON object with string values',
  );
}

/**
 * The terms of a gather at the time when it is read: its durations count from when it was sent,
 * `delayMs` before.
 */
function termsAfterDelay<M extends GatherMessage | RelayMessage>(message: M, delayMs: number): M {
  return {
    ...message,
    elapsedMs: message.elapsedMs + delayMs,
    leftMs: message.leftMs - delayMs,
    reportInMs: Math.max(0, message.reportInMs - delayMs),
  };
}

/** The connection of one root and its gathers in progress. */
class RootSession {
  readonly gathers = new Map<number, LeafGather>();
  readonly transitDelay = new TransitDelay();

  constructor(
    readonly connection: MessageConnection,
    readonly root: string,
  ) {}

  send(message: AggregationMessage): void {
    sendOrClose(this.connection, AGGREGATION_CODEC.encode(message));
  }
}

/** Serves any number of roots; {@link serve} runs once per connection. */
export class LeafServer {
  private readonly sessions = new Set<RootSession>();
  private readonly admission: LeafAdmission;
  private readonly grantDelay = new GrantDelay();
  private isStopping = false;

  constructor(private readonly options: LeafServerOptions) {
    this.admission = new LeafAdmission(options.context.environment.clock);
  }

  /** Number of gathers in progress, for all roots. */
  get inProgress(): number {
    let count = 0;
    for (const { gathers } of this.sessions) count += gathers.size;
    return count;
  }

  /**
   * Serves one root until its connection ends, then cancels the root's gathers. Does not reject.
   */
  async serve(connection: MessageConnection, peer: RemoteIdentity): Promise<void> {
    const session = new RootSession(connection, peer.name);
    this.sessions.add(session);
    if (this.isStopping) session.send({ kind: 'stopping' });
    try {
      for (;;) {
        const frame = await connection.receive();
        if (frame === undefined) break;
        this.handleFrame(session, AGGREGATION_CODEC.decodeBatch(frame, peer.name));
      }
    } catch (error) {
      const reason = String(error);
      this.options.logger.warn('connection of root failed', { root: peer.name, reason });
    } finally {
      this.sessions.delete(session);
      for (const gather of [...session.gathers.values()]) gather.cancel('the root has gone');
    }
  }

  /**
   * Starts draining: tells roots to send no new gathers and declines them; those in progress
   * continue.
   */
  stop(): void {
    this.isStopping = true;
    for (const session of this.sessions) session.send({ kind: 'stopping' });
  }

  private handleFrame(session: RootSession, messages: readonly AggregationMessage[]): void {
    const [first, second, third] = messages;
    const isGather = second?.kind === 'gather' || second?.kind === 'relay';
    const sendTime = third?.kind === 'sendTime' ? third : undefined;
    const isWhole = messages.length === (sendTime === undefined ? 2 : 3);
    if (first?.kind === 'request' && isGather && isWhole) {
      const delayMs = sendTime === undefined ? 0 : this.recordDelay(session, sendTime);
      const gather = termsAfterDelay(second, delayMs);
      const reason = this.declineReason(gather);
      if (reason === undefined) this.begin(session, first, gather, delayMs);
      else this.decline(session, gather.gatherId, reason);
      return;
    }
    for (const message of messages) this.handleMessage(session, message);
  }

  /** Returns how late the frame was read. Milliseconds. */
  private recordDelay({ transitDelay }: RootSession, { sentAt }: SendTimeMessage): number {
    const { environment, metrics } = this.options.context;
    const delayMs = transitDelay.record(sentAt, environment.clock.now());
    metrics.gatherDelay.observe(delayMs / MILLISECONDS_PER_SECOND);
    return delayMs;
  }

  private handleMessage(session: RootSession, message: AggregationMessage): void {
    if (message.kind === 'sendTime') {
      session.transitDelay.record(message.sentAt, this.options.context.environment.clock.now());
      return;
    }
    if (message.kind === 'cancel') {
      session.gathers.get(message.gatherId)?.cancel('the root does not need the rest');
      return;
    }
    if (message.kind === 'grant') {
      session.gathers.get(message.gatherId)?.grant();
      return;
    }
    throw new MalformedMessageError(
      'serve root',
      session.root,
      `unexpected message ${message.kind}`,
    );
  }

  private declineReason({ leftMs }: GatherMessage | RelayMessage): string | undefined {
    if (leftMs <= 0) return 'the deadline of the caller has passed';
    if (this.isStopping) return 'the leaf is stopping';
    if (this.options.table() === undefined) return 'the leaf has no route document yet';
    if (this.inProgress >= MAXIMUM_GATHERS) return 'the leaf has too many gathers';
    return undefined;
  }

  private decline(session: RootSession, gatherId: number, reason: string): void {
    this.options.context.metrics.gathers.inc({ result: 'declined' });
    session.send({ kind: 'declined', gatherId, reason });
  }

  private begin(
    session: RootSession,
    request: RequestMessage,
    message: GatherMessage | RelayMessage,
    delayMs: number,
  ): void {
    const { gatherId, isRepeat, reportInMs } = message;
    const { totalShards } = request;
    if (session.gathers.has(gatherId)) {
      throw new MalformedMessageError(
        'serve root',
        session.root,
        'expected a new gather number, found one in use',
      );
    }
    const shards = readStrings(message.shards, session.root, 'shards');
    const callerRequest = this.createCallerRequest(request, message, shards, session.root);
    const isRelay = message.kind === 'relay';
    const gather = new LeafGather(this.options.context, {
      gatherId,
      request: callerRequest,
      shards,
      totalShards,
      isRepeat,
      reportInMs,
      delayMs,
      root: session.root,
      rootRouteVersion: request.routeVersion,
      relay: isRelay ? this.createRelay(callerRequest, request, message, shards) : undefined,
      admission: this.admission,
      grantDelay: this.grantDelay,
      report: (parts) => session.send(parts),
      onEnd: () => session.gathers.delete(gatherId),
      gathersInProgress: () => this.inProgress,
    });
    this.options.context.metrics.gathers.inc({ result: isRelay ? 'relayed' : 'begun' });
    session.gathers.set(gatherId, gather);
    gather.start();
  }

  private createRelay(
    callerRequest: CallerRequest,
    request: RequestMessage,
    { isRepeat, reportInMs }: GatherMessage | RelayMessage,
    shards: readonly string[],
  ): (listener: PartListener, maySendAgain: () => boolean) => LeafSource {
    const { clock } = this.options.context.environment;
    const { totalShards } = request;
    const encodedRequest = AGGREGATION_CODEC.encode(request);
    const reportAt = clock.now() + reportInMs;
    const call = { shards, totalShards, encodedRequest, isRepeat, reportAt };
    return (listener, maySendAgain) =>
      this.options.relay(callerRequest, { ...call, maySendAgain }, listener);
  }

  private createCallerRequest(
    request: RequestMessage,
    { leftMs, elapsedMs, maximumAttempts }: GatherMessage | RelayMessage,
    shards: string[],
    root: string,
  ): CallerRequest {
    const now = this.options.context.environment.clock.now();
    const { method, target, body } = request;
    const headers = readHeaders(request.headers, root);
    const table = this.options.table() as RouteTable;
    const requiredCoverage = table.match(request.routeHost, target)?.requiredCoverage;
    const tenant = this.tenantNameOf(headers, table);
    return {
      id: request.requestId,
      method,
      target,
      headers,
      body,
      fingerprint: fingerprintOf({ method, target, headers, body, tenant }),
      signal: new AbortController().signal,
      table,
      route: {
        name: request.routeName,
        host: request.routeHost,
        pathPrefix: request.routePathPrefix,
        execution: 'repeatable',
        timeoutMs: leftMs,
        targetLatencyMs: request.targetLatencyMs,
        priority: request.priority,
        public: false,
        maximumAttempts,
        shards,
        topRecords: request.topRecords,
        // Of this gateway's own route document: only the times of reports depend on it.
        ...(requiredCoverage === undefined ? {} : { requiredCoverage }),
      },
      // The headers already name the tenant; the root alone checks API keys and quotas.
      tenant: undefined,
      receivedAt: now - elapsedMs,
      deadline: now + leftMs,
    };
  }

  /**
   * Name of the tenant, from the header that the root set. Undefined when the document lists no
   * tenants, as the header would then be the caller's own claim.
   */
  private tenantNameOf(headers: HttpHeaders, { tenants }: RouteTable): string | undefined {
    return tenants === undefined ? undefined : headers[this.options.context.headers.tenant];
  }
}
