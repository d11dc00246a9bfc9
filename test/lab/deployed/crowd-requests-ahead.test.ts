// Guards against a gateway whose memory is filled by requests sent ahead, without the usual headers, their answers unread.
import { PATHS } from './deployed-support.js';
import { head, testCrowd } from './crowd-support.js';

const REQUESTS = 20_000;
const REQUESTS_PER_PART = 500;
const CROWD = 100;

function* sendAhead(): Generator<Buffer> {
  const part = Buffer.from(head('GET', PATHS.repeatable).repeat(REQUESTS_PER_PART));
  for (let sent = 0; sent < REQUESTS; sent += REQUESTS_PER_PART) yield part;
}

testCrowd({
  name: 'keeps to its memory while callers send bare requests ahead and read nothing',
  memoryMb: 200,
  size: CROWD,
  caller: { parts: sendAhead, reads: false, leavesAfterMs: 2_000 },
  connections: 5 * CROWD,
  bytes: 0,
});
