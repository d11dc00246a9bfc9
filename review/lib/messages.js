/** Reads HTTP/1.1 messages from the bytes of one connection. */
import { Buffer } from 'node:buffer';

const END_OF_HEAD = Buffer.from('\r\n\r\n');
const END_OF_LINE = Buffer.from('\r\n');

function parseHead(bytes) {
  const [startLine, ...lines] = bytes.toString('latin1').split('\r\n');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).trim().toLowerCase()] = line.slice(colon + 1).trim();
  }
  return { startLine, headers };
}

/** Splits a chunked body; undefined while it is not whole. */
function parseChunks(bytes) {
  const parts = [];
  let offset = 0;
  for (;;) {
    const lineEnd = bytes.indexOf(END_OF_LINE, offset);
    if (lineEnd < 0) return undefined;
    const size = parseInt(bytes.toString('latin1', offset, lineEnd), 16);
    const start = lineEnd + 2;
    if (bytes.length < start + size + 2) return undefined;
    if (size === 0) return { body: Buffer.concat(parts), end: start + 2 };
    parts.push(bytes.subarray(start, start + size));
    offset = start + size + 2;
  }
}

/** Takes bytes and gives out whole messages; a message without a length has no body. */
export class MessageReader {
  constructor(onMessage) {
    this.onMessage = onMessage;
    this.bytes = Buffer.alloc(0);
  }

  push(chunk) {
    this.bytes = Buffer.concat([this.bytes, chunk]);
    while (this.takeMessage());
  }

  takeMessage() {
    const headEnd = this.bytes.indexOf(END_OF_HEAD);
    if (headEnd < 0) return false;
    const head = parseHead(this.bytes.subarray(0, headEnd));
    const rest = this.bytes.subarray(headEnd + 4);
    const taken = this.takeBody(head.headers, rest);
    if (taken === undefined) return false;
    this.bytes = rest.subarray(taken.end);
    this.onMessage({ ...head, body: taken.body });
    return true;
  }

  takeBody(headers, rest) {
    if (headers['transfer-encoding'] === 'chunked') return parseChunks(rest);
    const length = Number(headers['content-length'] ?? 0);
    if (rest.length < length) return undefined;
    return { body: Buffer.from(rest.subarray(0, length)), end: length };
  }
}
