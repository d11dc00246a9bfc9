/**
 * The control port of a process of stand-in back ends:
 *
 * - `GET /readyz`
 * - `GET /replicas`
 * - `GET /ledger?from=N` gives at most {@link LEDGER_PAGE_ENTRIES} entries from the N-th on
 * - `POST /replicas/{id}/{action}` with an action of `BackendAction`
 * - `POST /replicas/{id}/faults` with a `BackendFault`, `DELETE` to clear them
 * - `POST /replicas/{id}/publish` and `POST /services/{service}/publish` with a snapshot
 */
import * as z from 'zod';
import { formatAddress, type Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import type { HttpListener, HttpRequest, HttpResponse } from '../../src/seams/http.js';
import type { BackendEvent } from '../ledger/backend-event.js';
import type { BackendHolding } from '../ledger/backend-holding.js';
import type { BackendLedgerEntry } from '../ledger/backend-ledger-entry.js';
import type { Backend } from './backend.js';
import { backendActionSchema, publishSchema } from './backend-action.js';
import { backendFaultSchema, type BackendFault } from './backend-fault.js';
import type { BackendGroup } from './backend-group.js';

/** Most entries of one ledger page. */
export const LEDGER_PAGE_ENTRIES = 10_000;

/** One element of `GET /replicas`. */
export interface ReplicaStatus {
  readonly replicaId: string;
  readonly service: string;
  readonly address: string;
  readonly incarnation: number;
  readonly listening: boolean;
  readonly draining: boolean;
  readonly load: number;
  readonly snapshots: readonly string[];
  readonly faults: readonly BackendFault[];
}

/** One page of `GET /ledger`. */
export interface LedgerPage {
  readonly entries: readonly BackendLedgerEntry[];
  /** All events, on every page. */
  readonly events: readonly BackendEvent[];
  /** All holdings, on every page. */
  readonly holdings: readonly BackendHolding[];
  /** Entries in the ledger. */
  readonly total: number;
}

const LISTEN_LIMITS = {
  maximumBodyBytes: 65_536,
  maximumHeaderBytes: 16_384,
  requestTimeout: 10_000,
  maximumConnections: 100,
};

function respond(status: number, content: unknown): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(content),
  };
}

function describeReplica(backend: Backend): ReplicaStatus {
  const { address, replicaId, incarnation, options, isListening, isDraining } = backend;
  return {
    replicaId,
    service: options.service,
    address: formatAddress(address),
    incarnation,
    listening: isListening,
    draining: isDraining,
    load: backend.slots.load,
    snapshots: backend.snapshots.list(),
    faults: backend.listFaults(),
  };
}

/** Serves the control port of one group. */
export class BackendControl {
  private constructor(
    private readonly group: BackendGroup,
    private readonly listener: HttpListener,
  ) {}

  static async start(
    environment: Environment,
    address: Address,
    group: BackendGroup,
  ): Promise<BackendControl> {
    const listener = await environment.network.listenHttp(address, LISTEN_LIMITS, (request) =>
      control.serve(request),
    );
    const control = new BackendControl(group, listener);
    return control;
  }

  get address(): Address {
    return this.listener.address;
  }

  async stop(): Promise<void> {
    await this.listener.close();
  }

  private async serve(request: HttpRequest): Promise<HttpResponse> {
    try {
      return await this.route(request);
    } catch (error) {
      if (error instanceof z.ZodError) return respond(400, { error: z.prettifyError(error) });
      if (error instanceof SyntaxError) return respond(400, { error: 'the body is not JSON' });
      throw error;
    }
  }

  private async route(request: HttpRequest): Promise<HttpResponse> {
    const [collection, name, verb] = request.path.split('/').filter((part) => part !== '');
    switch (collection) {
      case 'readyz':
        return respond(200, { ready: true });
      case 'ledger':
        return this.serveLedger(request);
      case 'services':
        return this.serveService(request, name ?? '', verb);
      case 'replicas':
        if (name === undefined) return respond(200, this.group.list().map(describeReplica));
        return this.serveReplica(request, name, verb);
      default:
        return respond(404, { error: 'no such path' });
    }
  }

  private serveLedger(request: HttpRequest): HttpResponse {
    const from = Number(request.query.get('from') ?? 0);
    const { entries, events, holdings } = this.group.ledger;
    const page: LedgerPage = {
      entries: entries.slice(from, from + LEDGER_PAGE_ENTRIES),
      events,
      holdings,
      total: entries.length,
    };
    return respond(200, page);
  }

  private serveService(
    request: HttpRequest,
    service: string,
    verb: string | undefined,
  ): HttpResponse {
    if (verb !== 'publish') return respond(404, { error: 'no such path' });
    const replicas = this.group.publish(service, publishSchema.parse(readJson(request)));
    return respond(replicas === 0 ? 404 : 200, { replicas });
  }

  private async serveReplica(
    request: HttpRequest,
    replicaId: string,
    verb: string | undefined,
  ): Promise<HttpResponse> {
    const backend = this.group.find(replicaId);
    if (backend === undefined) return respond(404, { error: `no replica ${replicaId}` });
    if (request.method === 'GET') return respond(200, describeReplica(backend));
    if (verb === 'faults') {
      if (request.method === 'DELETE') backend.clearFaults();
      else backend.setFault(backendFaultSchema.parse(readJson(request)));
    } else if (verb === 'publish') {
      const snapshot = publishSchema.parse(readJson(request));
      backend.publish(snapshot, snapshot.shardIds);
    } else {
      await this.group.act(backend, backendActionSchema.parse(verb));
    }
    return respond(200, describeReplica(backend));
  }
}

function readJson(request: HttpRequest): unknown {
  return JSON.parse(Buffer.from(request.body).toString('utf8')) as unknown;
}
