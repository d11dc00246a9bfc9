/** One call of a soak's operator to a controller, on a connection of its own. */
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import type { HttpClientRequest } from '../../src/seams/http.js';

const CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 1_000_000,
  connectTimeout: 500,
  keepAliveTimeout: 500,
};
/** Longest wait for a controller's answer by default. Milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
const HTTP_OK = 200;

/** What is asked of a controller. */
export type ControllerCall = Pick<HttpClientRequest, 'method' | 'path' | 'body'>;

/** Resolves with the body of a success; with undefined after a failure, or once the call was given up. */
export async function callController(
  { network }: Environment,
  controller: Address,
  call: ControllerCall,
  timeoutMs = CALL_TIMEOUT_MS,
): Promise<string | undefined> {
  const client = network.httpClient(controller, CLIENT_OPTIONS);
  const signal = AbortSignal.timeout(timeoutMs);
  try {
    const response = await client.request({ ...call, headers: {}, signal });
    return response.status === HTTP_OK ? Buffer.from(response.body).toString() : undefined;
  } catch {
    return undefined;
  } finally {
    client.destroy();
  }
}
