/** Encodes a caller's request for leaves. The result is reused for all leaves of the request. */
import { priorityOf, type CallerRequest } from '../gateway/caller-request.js';
import { targetLatencyOf } from '../gateway/route-latencies.js';
import { AGGREGATION_CODEC } from './aggregation-messages.js';

export function encodeRequest(request: CallerRequest, totalShards: number): Uint8Array {
  const { id, method, target, headers, body, route, table } = request;
  return AGGREGATION_CODEC.encode({
    kind: 'request',
    requestId: id,
    method,
    target,
    headers: JSON.stringify(headers),
    body,
    totalShards,
    routeName: route.name,
    routeHost: route.host,
    routePathPrefix: route.pathPrefix,
    routeVersion: table.version,
    topRecords: route.topRecords ?? 0,
    targetLatencyMs: targetLatencyOf(route),
    priority: priorityOf(request),
  });
}
