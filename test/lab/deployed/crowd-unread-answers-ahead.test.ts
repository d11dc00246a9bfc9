// Guards against a gateway whose memory is filled by long answers to requests that callers sent ahead.
import { PATHS } from './deployed-support.js';
import { head, testCrowd, usualHeaders } from './crowd-support.js';

const ANSWER_BYTES = 2_000_000;
const REQUESTS_AHEAD = 20;

function sendAhead(): Buffer[] {
  const requests = Array.from({ length: REQUESTS_AHEAD }, (_, number) =>
    head('GET', PATHS.repeatable, ...usualHeaders(`ahead-${number}`)),
  );
  return [Buffer.from(requests.join(''))];
}

testCrowd({
  name: 'keeps to its memory while callers leave long answers to requests sent ahead unread',
  memoryMb: 200,
  size: 60,
  caller: { parts: sendAhead, reads: false, leavesAfterMs: 1_000 },
  connections: 600,
  bytes: 0,
  answerBytes: ANSWER_BYTES,
});
