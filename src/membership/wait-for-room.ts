/** Waits until one of several replicas may have a free connection. */
import type { ReplicaRecord } from './replica-record.js';

/**
 * Resolves when an attempt at any of `records` ends, the requests that may be sent to one of them
 * change, or `signal` aborts. The caller has to check for a free connection again afterwards.
 */
export function waitForRoom(records: readonly ReplicaRecord[], signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const wake = (): void => {
      for (const record of records) record.unregisterRoomWaiter(wake);
      signal.removeEventListener('abort', wake);
      resolve();
    };
    for (const record of records) record.registerRoomWaiter(wake);
    signal.addEventListener('abort', wake, { once: true });
    if (signal.aborted) wake();
  });
}
