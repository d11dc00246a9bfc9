import { afterEach, beforeEach, expect, it } from 'vitest';
import { NodeHttpClient } from '../../src/node/node-http-client.js';
import type { HttpClientRequest, HttpClientResponse } from '../../src/seams/http.js';
import { FullListener } from './support/full-listener.js';

const CONNECT_WITHIN_MS = 20;

let peer: FullListener;
let client: NodeHttpClient;
let sent: string[];

beforeEach(async () => {
  peer = await FullListener.start();
  sent = [];
  client = new NodeHttpClient(
    { host: '127.0.0.1', port: peer.port },
    { connections: 8, maximumResponseBytes: 64, connectTimeout: 10_000, keepAliveTimeout: 30_000 },
  );
});

afterEach(async () => {
  client.destroy();
  await peer.stop();
});

function get(path: string, options: Partial<HttpClientRequest> = {}): Promise<HttpClientResponse> {
  const onSent = (): void => void sent.push(path);
  return client.request({ method: 'GET', path, headers: {}, onSent, ...options });
}

const NOT_SENT = { kind: 'connect_failed', requestSent: false };

it('fails a request that has no connection in time as not sent', async () => {
  await expect(get('/1', { connectWithin: CONNECT_WITHIN_MS })).rejects.toMatchObject(NOT_SENT);
  expect(sent).toEqual([]);
});

it('goes on opening one connection for all that come, and sends nothing that was given up', async () => {
  for (const path of ['/1', '/2', '/3']) {
    await expect(get(path, { connectWithin: CONNECT_WITHIN_MS })).rejects.toMatchObject(NOT_SENT);
  }
  const last = get('/4');
  peer.accept();
  const { body } = await last;
  expect(sent).toEqual(['/4']);
  expect(Number(Buffer.from(body).toString())).toBe(peer.heldConnections + 1);
});

it('keeps the connection that an aborted request was waiting for', async () => {
  const gone = new AbortController();
  const first = get('/1', { signal: gone.signal });
  gone.abort();
  await expect(first).rejects.toMatchObject({ kind: 'aborted', requestSent: false });
  const second = get('/2');
  peer.accept();
  const { body } = await second;
  expect(sent).toEqual(['/2']);
  expect(Number(Buffer.from(body).toString())).toBe(peer.heldConnections + 1);
});

it('never gives a connection that was opened for another to a request that asks for its own', async () => {
  const fresh = { freshConnection: true } as const;
  const bounded = get('/1', { ...fresh, connectWithin: CONNECT_WITHIN_MS });
  await expect(bounded).rejects.toMatchObject(NOT_SENT);
  const second = get('/2', fresh);
  peer.accept();
  expect((await second).status).toBe(200);
  expect(sent).toEqual(['/2']);
});

it('lets a request that waits for a free connection go when its time is up', async () => {
  const single = new NodeHttpClient(
    { host: '127.0.0.1', port: peer.port },
    { connections: 1, maximumResponseBytes: 64, connectTimeout: 10_000, keepAliveTimeout: 30_000 },
  );
  const request = { method: 'GET', path: '/', headers: {} };
  const first = single.request(request);
  const second = single.request({ ...request, connectWithin: CONNECT_WITHIN_MS });
  await expect(second).rejects.toMatchObject(NOT_SENT);
  const third = single.request(request);
  peer.accept();
  expect((await first).status).toBe(200);
  expect((await third).status).toBe(200);
  single.destroy();
});
