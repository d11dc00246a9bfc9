/** Builds responses of the unauthenticated endpoints that replicas and platform operators call. */
import {
  NoQuorumError,
  NotProposedError,
  ProposalOutcomeUnknownError,
} from '../consensus/consensus-errors.js';
import type { HttpResponse } from '../seams/http.js';

/** Serializes `content` as the body. */
export function jsonResponse(status: number, content: object): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(content),
  };
}

/** Builds a response with the body `{"error": message}`. */
export function errorResponse(status: number, message: string): HttpResponse {
  return jsonResponse(status, { error: message });
}

/**
 * Maps a failed proposal, or a failed read before it: 503 when nothing was proposed, 504 when the
 * outcome is unknown. Returns undefined for any other error.
 */
export function proposalErrorResponse(error: unknown): HttpResponse | undefined {
  const isNotProposed = error instanceof NotProposedError || error instanceof NoQuorumError;
  if (isNotProposed) return errorResponse(503, error.message);
  if (error instanceof ProposalOutcomeUnknownError) return errorResponse(504, error.message);
  return undefined;
}
