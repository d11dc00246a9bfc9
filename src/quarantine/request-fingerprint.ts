/**
 * Tells what a request asks, apart from its id: the same for each sending of the same request,
 * whichever gateway it reaches. A cryptographic hash, so that nobody can make a request that
 * is taken for another caller's.
 */
import { createHash } from 'node:crypto';
import type { HttpHeaders } from '../seams/http.js';

/** Enough that two requests of a fleet never share one. Characters of hexadecimal digits. */
const FINGERPRINT_LENGTH = 24;

/** The header by which a caller says who it is, where it says so. */
const CALLER_HEADER = 'authorization';

/** What a fingerprint is made of. */
export interface FingerprintedRequest {
  readonly method: string;
  /** Path and query string. */
  readonly target: string;
  /** Names in lower case. */
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** Name of the tenant that sends it; undefined where it was not asked for an API key. */
  readonly tenant?: string | undefined;
}

/**
 * Method, host, target, caller, tenant and body; further headers may differ from sending to
 * sending, as may the keys of one tenant.
 */
export function fingerprintOf(request: FingerprintedRequest): string {
  const { method, target, headers, body, tenant } = request;
  const { host = '', [CALLER_HEADER]: caller = '' } = headers;
  return createHash('sha256')
    .update(
      JSON.stringify([method, host, target, caller, ...(tenant === undefined ? [] : [tenant])]),
    )
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_LENGTH);
}
