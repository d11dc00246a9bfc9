/** Writes the same bytes again and again, as a peer that never ends. */
import type { Socket } from 'node:net';

/** Far more than any bound allows and the system buffers. */
const ENDLESS_BYTES = 64 * 1024 * 1024;
const PART_BYTES = 64 * 1024;

/** Resolves once the peer has closed the connection (false), or all was taken (true). */
export function writeEndlessly(socket: Socket, repeated: string): Promise<boolean> {
  const part = Buffer.alloc(PART_BYTES - (PART_BYTES % repeated.length), repeated, 'latin1');
  return new Promise((resolve) => {
    socket.once('close', () => resolve(false));
    const writeOn = (): void => {
      while (!socket.destroyed && socket.bytesWritten < ENDLESS_BYTES) {
        if (socket.write(part)) continue;
        socket.once('drain', writeOn);
        return;
      }
      if (!socket.destroyed) resolve(true);
      socket.destroy();
    };
    writeOn();
  });
}
