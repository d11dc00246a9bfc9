/** Answers of the calls of replicas and of operators that controllers take without a token. */
import {
  NoQuorumError,
  NotProposedError,
  ProposalOutcomeUnknownError,
} from '../consensus/consensus-errors.js';
import type { HttpResponse } from '../seams/http.js';

export function jsonResponse(status: number, content: object): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(content),
  };
}

export function errorResponse(status: number, message: string): HttpResponse {
  return jsonResponse(status, { error: message });
}

/** The answer to a proposal, or to a read before it, that failed; undefined for any other error. */
export function proposalErrorResponse(error: unknown): HttpResponse | undefined {
  const isNotProposed = error instanceof NotProposedError || error instanceof NoQuorumError;
  if (isNotProposed) return errorResponse(503, error.message);
  if (error instanceof ProposalOutcomeUnknownError) return errorResponse(504, error.message);
  return undefined;
}
