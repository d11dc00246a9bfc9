// Guards against a gateway whose memory is filled by long answers that callers don't read.
import { PATHS } from './deployed-support.js';
import { head, testCrowd, usualHeaders } from './crowd-support.js';

const ANSWER_BYTES = 2_000_000;

testCrowd({
  name: 'keeps to its memory while callers leave long answers unread',
  memoryMb: 200,
  size: 60,
  caller: {
    parts: () => [Buffer.from(head('GET', PATHS.repeatable, ...usualHeaders('unread')))],
    reads: false,
    leavesAfterMs: 1_000,
  },
  connections: 600,
  bytes: 0,
  answerBytes: ANSWER_BYTES,
});
