/**
 * Unauthenticated HTTP endpoint for quarantined requests: lists the requests that are suspected or
 * refused because replicas terminate while executing them (`/v1/quarantine`), and lifts the
 * quarantine of one (`/v1/quarantine/{fingerprint}`).
 */
import { UnknownFingerprintError, type QuarantineOrders } from '../quarantine/quarantine-orders.js';
import type { HttpRequest, HttpResponse } from '../seams/http.js';
import { errorResponse, jsonResponse, proposalErrorResponse } from './json-response.js';

/** Path of the list; the path of one request appends its fingerprint. */
export const QUARANTINE_PATH = '/v1/quarantine';

/** A quarantine is durably lifted when DELETE responds with 200; lists are linearizable reads. */
export class QuarantineEndpoint {
  constructor(private readonly orders: QuarantineOrders) {}

  async handle({ method, path, signal }: HttpRequest): Promise<HttpResponse> {
    if (path === QUARANTINE_PATH) {
      return method === 'GET' ? this.list() : errorResponse(405, 'use GET');
    }
    if (method !== 'DELETE') return errorResponse(405, 'use DELETE');
    return this.lift(path.slice(QUARANTINE_PATH.length + 1), signal);
  }

  private async lift(fingerprint: string, signal: AbortSignal): Promise<HttpResponse> {
    try {
      await this.orders.lift(fingerprint, signal);
      return jsonResponse(200, { fingerprint, lifted: true });
    } catch (error) {
      if (error instanceof UnknownFingerprintError) return errorResponse(404, error.message);
      const response = proposalErrorResponse(error);
      if (response === undefined) throw error;
      return response;
    }
  }

  private async list(): Promise<HttpResponse> {
    try {
      return jsonResponse(200, { requests: await this.orders.read() });
    } catch (error) {
      return errorResponse(503, `cannot be sure of the newest: ${String(error)}`);
    }
  }
}
