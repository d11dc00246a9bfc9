import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, expect, it } from 'vitest';
import { FRAME_HEADER_BYTES } from '../../src/node/frame-reader.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import { MAXIMUM_FRAME_BYTES, type MessageConnection } from '../../src/seams/message-connection.js';

const FRAMES = 40;
/** What the system may hold of one connection on loopback, at both ends together. Bytes. */
const SYSTEM_BUFFER_BYTES = 8 * MAXIMUM_FRAME_BYTES;

let server: Server | undefined;
let connection: MessageConnection | undefined;

afterEach(() => {
  connection?.close();
  server?.close();
});

/** Connects to a peer and gives both ends. */
async function open(): Promise<{ near: MessageConnection; far: Socket }> {
  const listening = createServer();
  server = listening;
  listening.listen(0, '127.0.0.1');
  await once(listening, 'listening');
  const accepted = once(listening, 'connection') as Promise<[Socket]>;
  const { port } = listening.address() as AddressInfo;
  connection = await new NodeNetwork().connectMessages({ host: '127.0.0.1', port }, 5_000);
  const [far] = await accepted;
  return { near: connection, far };
}

function longFrame(number: number): Buffer {
  const frame = Buffer.alloc(FRAME_HEADER_BYTES + MAXIMUM_FRAME_BYTES, number);
  frame.writeUInt32BE(MAXIMUM_FRAME_BYTES);
  return frame;
}

/** Bytes that have left the sender once no more leave. */
async function settledBytesSent(far: Socket): Promise<number> {
  const STEADY_TURNS = 200;
  let sent = -1;
  let steady = 0;
  while (steady < STEADY_TURNS) {
    await new Promise((resolve) => setImmediate(resolve));
    const now = far.bytesWritten - far.writableLength;
    steady = now === sent ? steady + 1 : 0;
    sent = now;
  }
  return sent;
}

describe('the frames that wait for their reader', () => {
  // Guards against a queue that counts frames: 64 of the longest take 256 MiB for each slow reader.
  it('are bounded in bytes, and all come in order once they are read', async () => {
    const { near, far } = await open();
    for (let number = 0; number < FRAMES; number += 1) far.write(longFrame(number));
    const bound = 2 * MAXIMUM_FRAME_BYTES + SYSTEM_BUFFER_BYTES;
    expect(await settledBytesSent(far)).toBeLessThan(bound);
    for (let number = 0; number < FRAMES; number += 1) {
      const frame = await near.receive();
      expect(frame?.length).toBe(MAXIMUM_FRAME_BYTES);
      expect(frame?.[0]).toBe(number);
    }
  });
});
