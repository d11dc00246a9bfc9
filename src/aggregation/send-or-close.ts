/** Sends messages of a gather, whose sender cannot wait until its peer has read the ones before. */
import type { MessageConnection } from '../seams/message-connection.js';

/** Limit of bytes queued for a peer that does not read; the connection is closed beyond it. */
const MAXIMUM_QUEUED_BYTES = 4 * 1024 * 1024;

/** Failures show at the receiving task of the connection, which ends its gathers. */
export function sendOrClose(connection: MessageConnection, frame: Uint8Array): void {
  if (connection.queuedBytes > MAXIMUM_QUEUED_BYTES) connection.close();
  else connection.send(frame).catch(() => undefined);
}
