/** Shared by the simulator's tests. */
import type { HttpClientOptions, HttpListenOptions } from '../../../src/seams/http.js';

export const LISTEN_OPTIONS: HttpListenOptions = {
  maximumBodyBytes: 1_024,
  maximumHeaderBytes: 512,
  requestTimeout: 10_000,
  maximumConnections: 100,
};

export const CLIENT_OPTIONS: HttpClientOptions = {
  connections: 2,
  maximumResponseBytes: 2_048,
  connectTimeout: 500,
  keepAliveTimeout: 4_000,
};

/** Code units of a body as text. */
export function bodyText(body: Uint8Array): string {
  return Buffer.from(body).toString();
}
