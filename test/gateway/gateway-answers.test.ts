/** Tests the retry times in the responses that a gateway itself produces. */
import { expect, it } from 'vitest';
import { GatewayRefusal, refuse } from '../../src/gateway/gateway-answers.js';

// Guards against callers that return as told, but before the token that is reserved for them is due.
it.each([1, 9, 11, 304, 1_004.2, 25_001])(
  'never tells a caller to return before the retry time of %d ms',
  (retryAfterMs) => {
    const { headers } = refuse(GatewayRefusal.RateLimited, 'limit', retryAfterMs);
    const toldMs = Number(headers?.['retry-after']) * 1_000;
    expect(toldMs).toBeGreaterThanOrEqual(retryAfterMs);
    expect(toldMs).toBeLessThan(retryAfterMs + 10);
  },
);
