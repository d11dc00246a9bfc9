/**
 * Opens connections on which a reset is always a failure. A body without a
 * length ends with its connection, and one whose connection was reset is not
 * whole; but two things hide a reset: undici takes `ECONNRESET` for the end of
 * such a body, and libuv reports the end of the stream without reading on when
 * the reset is there already as it reads the last bytes.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

/** Stands in for `ECONNRESET`, which undici does not take for a failure. */
const RESET_CODE = 'ERR_CONNECTION_RESET';

function resetError(): NodeJS.ErrnoException {
  return Object.assign(new Error('the connection was reset'), { code: RESET_CODE });
}

/** Gives the error of a reset a code that undici does not pass over. */
function renameReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = RESET_CODE;
}

/**
 * A stream that ended in order still has its peer; one that was reset has none.
 * The end is not told then, so that nobody takes what came for whole.
 */
function turnHiddenResetsIntoErrors(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
  socket.emit = (event: string, ...values: unknown[]): boolean => {
    const isHiddenReset = event === 'end' && socket.remoteAddress === undefined;
    if (!isHiddenReset) return emit(event, ...values);
    socket.destroy(resetError());
    return true;
  };
}

/** A connector for undici; `timeout` in milliseconds. */
export function createResetAwareConnector(timeout: number): buildConnector.connector {
  const connect = buildConnector({ timeout });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error !== null) {
        callback(error, null);
        return;
      }
      // Runs before undici's own listener, which is added once it has the socket.
      socket.on('error', renameReset);
      turnHiddenResetsIntoErrors(socket);
      callback(null, socket);
    });
}
