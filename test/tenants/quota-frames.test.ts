/** Tests token requests and responses on the wire, also with peers of an earlier version. */
import { describe, expect, it } from 'vitest';
import {
  packRequests,
  packResponse,
  readRequests,
  readResponses,
} from '../../src/tenants/quota-frames.js';
import {
  QUOTA_CODEC,
  type QuotaMessage,
  type TokenRequest,
  type TokenResponse,
} from '../../src/tenants/quota-messages.js';

const COUNTS = { spent: 0, returned: 0, ahead: 0, refused: 0, refusedWithoutOwner: 0 };
const REQUEST: TokenRequest = { kind: 'ask', tenant: 'acme', waiting: 2, ...COUNTS };
const CALLERS = ['00000000000000aa', 'ffffffffffffffff'];
const RESPONSE: TokenResponse = {
  kind: 'answer',
  tenant: 'acme',
  granted: 1,
  pressureMs: 10,
  nextTokenMs: 5,
  retryAfterMs: 20,
  retrySpacingMs: 100,
};

function overWire(messages: readonly QuotaMessage[]): QuotaMessage[] {
  return QUOTA_CODEC.decodeBatch(QUOTA_CODEC.encodeBatch(messages), 'peer');
}

describe('frames of the quota connection', () => {
  it('carry the callers of each token request', () => {
    const requests = [{ ...REQUEST, callers: CALLERS }, REQUEST];
    expect(readRequests(overWire(packRequests(requests)), 'gateway-1')).toEqual(requests);
  });

  it('carry the retry times that were told in the name of an earlier owner', () => {
    const reservations = CALLERS.map((caller, index) => ({ caller, dueInMs: 100 * index }));
    const requests = [{ ...REQUEST, callers: CALLERS, reservations }];
    expect(readRequests(overWire(packRequests(requests)), 'gateway-1')).toEqual(requests);
  });

  it('carry retry times that are rounded up, so that no caller returns too early', () => {
    const response = { ...RESPONSE, retries: [0, 20.1] };
    const messages = packResponse(response, { ...REQUEST, callers: CALLERS });
    expect(readResponses(overWire(messages), 'owner')).toEqual([{ ...RESPONSE, retries: [0, 21] }]);
  });

  it('are those of the earlier version for a gateway that names no callers', () => {
    const messages = packResponse({ ...RESPONSE, retries: [0, 20] }, REQUEST);
    expect(messages).toEqual([RESPONSE]);
    expect(readResponses(overWire(messages), 'owner')).toEqual([RESPONSE]);
  });

  // Guards against a request of a tenant that the owner doesn't know being admitted without a token.
  it('carry no decisions where the owner decides on all requests alike', () => {
    const messages = packResponse(RESPONSE, { ...REQUEST, callers: CALLERS });
    expect(readResponses(overWire(messages), 'owner')).toEqual([RESPONSE]);
  });

  it('are refused when callers or retry times stand alone', () => {
    const callers: QuotaMessage = { kind: 'callers', callers: new Uint8Array(8) };
    const retries: QuotaMessage = { kind: 'retries', retries: new Uint8Array(4) };
    expect(() => readRequests([callers], 'gateway-1')).toThrow('kind ask');
    expect(() => readResponses([retries], 'owner')).toThrow('kind answer');
  });
});
