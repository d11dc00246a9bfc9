// Guards against a gateway that answers nobody while callers send bodies in very small chunks.
import { PATHS } from './deployed-support.js';
import { head, testCrowd, usualHeaders } from './crowd-support.js';

/** Just short of the longest body. */
const CHUNKS = 1_000_000;
const CHUNKS_PER_PART = 10_000;
const CROWD = 200;
/** Of each connection: half of what it sends. */
const BYTES_PER_CONNECTION = 3_000_000;

function* sendInSmallChunks(): Generator<Buffer> {
  yield Buffer.from(
    head('POST', PATHS.repeatable, ...usualHeaders('small'), 'transfer-encoding: chunked'),
  );
  const part = Buffer.from('1\r\nz\r\n'.repeat(CHUNKS_PER_PART));
  for (let sent = 0; sent < CHUNKS; sent += CHUNKS_PER_PART) yield part;
}

testCrowd({
  name: 'answers an ordinary request while callers send bodies in chunks of one byte',
  memoryMb: 250,
  size: CROWD,
  caller: { parts: sendInSmallChunks, reads: true },
  connections: CROWD,
  bytes: (CROWD * BYTES_PER_CONNECTION) / 10,
});
