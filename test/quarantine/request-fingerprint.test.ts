import { describe, expect, it } from 'vitest';
import { fingerprintOf } from '../../src/quarantine/request-fingerprint.js';

const REQUEST = {
  method: 'POST',
  target: '/ledger/7?page=2',
  headers: { host: 'desk.example', 'x-request-id': 'one' },
  body: Buffer.from('donor'),
};

describe('the fingerprint of a request', () => {
  it('is the same for another request id and deadline', () => {
    const headers = { host: 'desk.example', 'x-request-id': 'two', 'x-deadline-ms': '90' };
    expect(fingerprintOf({ ...REQUEST, headers })).toBe(fingerprintOf(REQUEST));
  });

  it.each([
    ['method', { ...REQUEST, method: 'PUT' }],
    ['target', { ...REQUEST, target: '/ledger/7?page=3' }],
    ['host', { ...REQUEST, headers: { host: 'other.example' } }],
    ['caller', { ...REQUEST, headers: { ...REQUEST.headers, authorization: 'Bearer a' } }],
    ['tenant', { ...REQUEST, tenant: 'orchard' }],
    ['body', { ...REQUEST, body: Buffer.from('donors') }],
  ])('differs with the %s', (_, request) => {
    expect(fingerprintOf(request)).not.toBe(fingerprintOf(REQUEST));
  });
});
