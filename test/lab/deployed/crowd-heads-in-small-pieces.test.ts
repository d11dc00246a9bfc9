// Guards against a gateway that callers hold up with many short header lines that never end.
import { PATHS, ROUTE_HOST } from './deployed-support.js';
import { testCrowd } from './crowd-support.js';

const LINES_PER_PART = 50;
const PARTS = 60;
const CROWD = 100;

function* sendShortLines(): Generator<Buffer> {
  yield Buffer.from(`GET ${PATHS.repeatable} HTTP/1.1\r\nhost: ${ROUTE_HOST}\r\n`);
  for (let sent = 0; sent < PARTS; sent += 1) yield Buffer.from('a:b\r\n'.repeat(LINES_PER_PART));
}

testCrowd({
  name: 'keeps to its memory while callers send short lines of heads that never end',
  memoryMb: 200,
  size: CROWD,
  caller: { parts: sendShortLines, reads: true, leavesAfterMs: 2_000 },
  connections: 5 * CROWD,
  bytes: 0,
});
