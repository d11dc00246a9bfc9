// Guards against a gateway whose memory is filled by bodies that stop just short of their end and stay.
import { PATHS } from './deployed-support.js';
import { head, testCrowd, usualHeaders } from './crowd-support.js';

const CHUNK_BYTES = 65_536;
/** Just short of the longest body. */
const CHUNKS = 15;
const CROWD = 100;

function* sendMostOfBody(): Generator<Buffer> {
  yield Buffer.from(
    head('POST', PATHS.repeatable, ...usualHeaders('large'), 'transfer-encoding: chunked'),
  );
  const chunk = Buffer.alloc(CHUNK_BYTES, 'z');
  for (let sent = 0; sent < CHUNKS; sent += 1) {
    yield Buffer.concat([
      Buffer.from(`${CHUNK_BYTES.toString(16)}\r\n`),
      chunk,
      Buffer.from('\r\n'),
    ]);
  }
}

testCrowd({
  name: 'keeps to its memory while callers send most of large bodies in large chunks',
  memoryMb: 200,
  size: CROWD,
  caller: { parts: sendMostOfBody, reads: true, leavesAfterMs: 2_000 },
  connections: 5 * CROWD,
  bytes: 0,
});
