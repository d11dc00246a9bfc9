/**
 * Unauthenticated HTTP endpoint for evacuation orders: PUT and DELETE on `/v1/evacuations/{zone}`,
 * and the list of evacuated zones.
 */
import { EvacuationRefusedError, type EvacuationOrders } from '../evacuations/evacuation-orders.js';
import type { EvacuationOrder } from '../evacuations/evacuation-register.js';
import type { HttpRequest, HttpResponse } from '../seams/http.js';
import { errorResponse, jsonResponse, proposalErrorResponse } from './json-response.js';

/** Path of the list; the path of one zone appends its encoded name. */
export const EVACUATIONS_PATH = '/v1/evacuations';

/** Whether the zone is evacuated after a call, by HTTP method. */
const EVACUATED_AFTER_METHOD: Readonly<Record<string, boolean>> = { PUT: true, DELETE: false };

function orderErrorResponse(error: unknown): HttpResponse {
  if (error instanceof EvacuationRefusedError) return errorResponse(404, error.message);
  const response = proposalErrorResponse(error);
  if (response === undefined) throw error;
  return response;
}

function decodeZone(path: string): string | undefined {
  try {
    return decodeURIComponent(path.slice(EVACUATIONS_PATH.length + 1));
  } catch {
    // Invalid percent-encoding.
    return undefined;
  }
}

/** Orders are durable when a call responds with 200; lists are linearizable reads. */
export class EvacuationEndpoint {
  constructor(private readonly orders: EvacuationOrders) {}

  async handle({ method, path, signal }: HttpRequest): Promise<HttpResponse> {
    if (path === EVACUATIONS_PATH) {
      return method === 'GET' ? this.list() : errorResponse(405, 'use GET');
    }
    const zone = decodeZone(path);
    const isEvacuated = EVACUATED_AFTER_METHOD[method];
    if (zone === undefined) return errorResponse(400, 'the name of the zone cannot be read');
    if (isEvacuated === undefined) return errorResponse(405, 'use PUT or DELETE');
    return this.submitOrder({ zone, isEvacuated }, signal);
  }

  private async submitOrder(order: EvacuationOrder, signal: AbortSignal): Promise<HttpResponse> {
    const { zone, isEvacuated } = order;
    try {
      const { status, revision } = await this.orders.submit(order, signal);
      return jsonResponse(200, { zone, evacuated: isEvacuated, status, revision });
    } catch (error) {
      return orderErrorResponse(error);
    }
  }

  private async list(): Promise<HttpResponse> {
    try {
      return jsonResponse(200, { zones: await this.orders.readZones() });
    } catch (error) {
      return errorResponse(503, `cannot be sure of the newest: ${String(error)}`);
    }
  }
}
