import { expect, it } from 'vitest';
import { sizeOfRequest, sizeOfResponse } from '../../src/gateway/exchange-size.js';

it('the size of an exchange grows by the bytes added to path, headers and body', () => {
  const request = { method: 'GET', path: '/a', headers: { host: 'x' } };
  const size = sizeOfRequest(request);
  expect(sizeOfRequest({ ...request, path: '/abc' })).toBe(size + 2);
  expect(sizeOfRequest({ ...request, body: 'four' })).toBe(size + 4);
  expect(sizeOfRequest({ ...request, headers: { host: 'x', a: 'bc' } })).toBe(size + 3 + 4);
  const response = { status: 200, headers: {}, body: new Uint8Array(10) };
  expect(sizeOfResponse({ ...response, body: new Uint8Array(30) })).toBe(
    sizeOfResponse(response) + 20,
  );
});
