/**
 * HTTP endpoint for the heartbeats and deregistrations of replicas, for the route document, and
 * for evacuations and quarantined requests. Not authenticated: listen only on networks that
 * replicas and platform operators alone can reach.
 */
import { SectionTag, sectionCommand } from '../consensus/sectioned-state-machine.js';
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import type { DirectoryServer } from '../directory/directory-server.js';
import type { ReplicaDirectory } from '../directory/replica-directory.js';
import { RegisteredState } from '../directory/replica-entry.js';
import type { Logger } from '../observability/logger.js';
import {
  EntrySource,
  UnusableReason,
  type UnusableEntries,
} from '../observability/unusable-entries.js';
import { InvalidRouteDocumentError, readRouteDocument } from '../routes/read-route-document.js';
import {
  decodeRouteDocumentOutcome,
  encodeRouteDocument,
  type RouteDocumentRegister,
} from '../routes/route-document-register.js';
import type { HttpRequest, HttpResponse } from '../seams/http.js';
import { EVACUATIONS_PATH, type EvacuationEndpoint } from './evacuation-endpoint.js';
import { QUARANTINE_PATH, type QuarantineEndpoint } from './quarantine-endpoint.js';
import { readHeartbeat } from './read-heartbeat.js';
import { errorResponse, jsonResponse, proposalErrorResponse } from './json-response.js';

const REPLICAS_PATH = '/v1/replicas/';
const ROUTES_PATH = '/v1/routes';

/** Maximum wait until a quorum of controllers holds that a replica is leaving. */
const LEAVE_QUORUM_TIMEOUT_MS = 800;
/** Maximum further wait for gateways: those connected here, and those of connected controllers. */
const LEAVE_GATEWAYS_TIMEOUT_MS = 150;

/** Dependencies of {@link RegistrationEndpoint}. */
export interface RegistrationEndpointOptions {
  readonly log: ReplicatedLog;
  readonly register: RouteDocumentRegister;
  readonly directory: ReplicaDirectory;
  readonly server: DirectoryServer;
  readonly evacuations: EvacuationEndpoint;
  readonly quarantine: QuarantineEndpoint;
  readonly unusable: UnusableEntries;
  readonly logger: Logger;
}

/** Maximum length of an unvalidated replica ID in a log line, in characters. */
const MAXIMUM_LOGGED_ID_LENGTH = 64;

function truncateId(replicaId: string): string {
  return replicaId.slice(0, MAXIMUM_LOGGED_ID_LENGTH);
}

/** Decodes the replica ID at the end of the path; undefined for invalid percent-encoding. */
function decodeReplicaId(path: string): string | undefined {
  try {
    return decodeURIComponent(path.slice(REPLICAS_PATH.length));
  } catch {
    return undefined;
  }
}

/** Routes each request by path; a stateless handler over {@link RegistrationEndpointOptions}. */
export class RegistrationEndpoint {
  constructor(private readonly options: RegistrationEndpointOptions) {}

  async handle(request: HttpRequest): Promise<HttpResponse> {
    const { method, path } = request;
    if (path.startsWith(REPLICAS_PATH)) {
      return this.handleReplicaRequest(method, decodeReplicaId(path), request.body);
    }
    if (path === EVACUATIONS_PATH || path.startsWith(`${EVACUATIONS_PATH}/`)) {
      return this.options.evacuations.handle(request);
    }
    if (path === QUARANTINE_PATH || path.startsWith(`${QUARANTINE_PATH}/`)) {
      return this.options.quarantine.handle(request);
    }
    if (path !== ROUTES_PATH) return errorResponse(404, 'no such path');
    if (method === 'PUT') return this.putRoutes(request.body);
    if (method === 'GET') return this.getRoutes();
    return errorResponse(405, 'use PUT or GET');
  }

  private async handleReplicaRequest(
    method: string,
    replicaId: string | undefined,
    body: Uint8Array,
  ): Promise<HttpResponse> {
    if (method !== 'PUT' && method !== 'DELETE') return errorResponse(405, 'use PUT or DELETE');
    if (replicaId === undefined) {
      this.options.unusable.note(EntrySource.Heartbeat, UnusableReason.Unreadable, { field: 'id' });
      return errorResponse(400, 'not a replica id');
    }
    return method === 'PUT'
      ? this.handleHeartbeat(replicaId, body)
      : this.handleDeregistration(replicaId);
  }

  /** An unusable heartbeat neither changes the replica's entry nor keeps it from expiring. */
  private async handleHeartbeat(replicaId: string, body: Uint8Array): Promise<HttpResponse> {
    const { directory, server, unusable, logger } = this.options;
    const result = readHeartbeat(replicaId, body);
    if ('problem' in result) {
      const { reason, field } = result.problem;
      unusable.note(EntrySource.Heartbeat, reason, { replicaId: truncateId(replicaId), field });
      return errorResponse(400, `not a heartbeat: ${field ?? reason}`);
    }
    const { entry } = result;
    const { isCurrent, isNews } = directory.reportDirectly(entry);
    if (directory.find(replicaId) === undefined) {
      unusable.note(EntrySource.Heartbeat, UnusableReason.TooMany, { replicaId });
      return errorResponse(503, 'too many replicas');
    }
    if (isCurrent) server.recordHeartbeat(replicaId);
    if (isNews) {
      const { service, address, state, sequence, bornAt } = entry;
      logger.info('replica registered', {
        replicaId,
        service,
        address,
        state,
        sequence,
        bornAt,
      });
    }
    const isLeaving = directory.find(replicaId)?.state !== RegisteredState.Ready;
    return isLeaving ? this.acknowledgeLeaving(replicaId) : jsonResponse(200, {});
  }

  private async handleDeregistration(replicaId: string): Promise<HttpResponse> {
    const { directory, logger } = this.options;
    const previousState = directory.find(replicaId)?.state;
    directory.leave(replicaId);
    if (previousState !== RegisteredState.Gone) logger.info('replica left', { replicaId });
    return this.acknowledgeLeaving(replicaId);
  }

  /**
   * Acknowledges that a replica is leaving only once a quorum of the controllers holds it: any
   * gateway that is not partitioned then learns it from one of them, even when this controller is
   * partitioned.
   */
  private async acknowledgeLeaving(replicaId: string): Promise<HttpResponse> {
    const { directory, server, log, logger } = this.options;
    const { position } = directory;
    server.notify();
    const { members, memberId } = log.status();
    const voters = members.filter(({ voter }) => voter).map((member) => member.memberId);
    const quorum = Math.floor(voters.length / 2) + 1;
    const isHeldByQuorum = await server.waitForConfirmations(
      position,
      LEAVE_QUORUM_TIMEOUT_MS,
      ({ controllers }) =>
        voters.filter((voter) => voter === memberId || controllers.has(voter)).length >= quorum,
    );
    if (!isHeldByQuorum) {
      logger.warn('leaving replica not acknowledged', {
        replicaId,
        reason: 'no quorum of the controllers confirmed it in time',
      });
      return errorResponse(503, 'no quorum of the controllers holds it yet');
    }
    await server.waitForConfirmations(
      position,
      LEAVE_GATEWAYS_TIMEOUT_MS,
      ({ gatewaysMissing, relaysMissing }) => gatewaysMissing === 0 && relaysMissing === 0,
    );
    return jsonResponse(200, {});
  }

  /**
   * Proposes the document if its version is higher than the current one; refuses invalid documents
   * whatever their version.
   */
  private async putRoutes(body: Uint8Array): Promise<HttpResponse> {
    const { register, log, logger } = this.options;
    try {
      const { version } = readRouteDocument(body);
      const currentVersion = register.current()?.version;
      if (currentVersion !== undefined && version <= currentVersion)
        return jsonResponse(200, { version: currentVersion });
      const command = sectionCommand(
        SectionTag.RouteDocument,
        encodeRouteDocument({ version, content: body }),
      );
      const { result } = await log.propose(command);
      const outcome = decodeRouteDocumentOutcome(result);
      logger.info('route document proposed', {
        proposed: version,
        replaced: outcome.replaced,
        inForce: outcome.version,
      });
      return jsonResponse(200, { version: outcome.version });
    } catch (error) {
      return this.routeErrorResponse(error);
    }
  }

  private routeErrorResponse(error: unknown): HttpResponse {
    this.options.logger.warn('route document refused', { reason: String(error) });
    if (error instanceof InvalidRouteDocumentError) return errorResponse(400, error.message);
    const response = proposalErrorResponse(error);
    if (response === undefined) throw error;
    return response;
  }

  /** Linearizable read: the newest acknowledged document or an error, never an older document. */
  private async getRoutes(): Promise<HttpResponse> {
    const { log, register } = this.options;
    try {
      await log.readBarrier();
    } catch (error) {
      return errorResponse(503, `cannot be sure of the newest: ${String(error)}`);
    }
    const document = register.current();
    if (document === undefined) return errorResponse(503, 'no route document yet');
    return {
      status: 200,
      headers: { 'content-type': 'application/json' },
      body: document.content,
    };
  }
}
