/**
 * The fingerprint of a request: a hash of its contents without its id, which is the same for
 * each resend of the request at every gateway. The hash is cryptographic, so that no caller can
 * craft a request that has the fingerprint of another caller's.
 */
import { createHash } from 'node:crypto';
import type { HttpHeaders } from '../seams/http.js';

/** 96 bits, at which collisions within a fleet are negligible. Hexadecimal digits. */
const FINGERPRINT_LENGTH = 24;

/** The header that identifies the caller, where it is present. */
const CALLER_HEADER = 'authorization';

/** The inputs of a fingerprint. */
export interface FingerprintedRequest {
  readonly method: string;
  /** Path and query string. */
  readonly target: string;
  /** Keyed by header names in lower case. */
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** Name of the caller's tenant; undefined where no API key is required. */
  readonly tenant?: string | undefined;
}

/**
 * Hashes method, host, target, caller, tenant and body. Other headers are left out, since they
 * may differ between resends; so are API keys, since a tenant may use several.
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
