/** Calls over plain sockets, so that what comes back is seen byte by byte. */
import { connect } from 'node:net';
import { setTimeout, clearTimeout } from 'node:timers';
import { MessageReader } from './messages.js';

function requestBytes(method, path, headers, body) {
  const fields = { ...headers };
  if (body !== '' || method !== 'GET') fields['Content-Length'] = String(body.length);
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

/** One connection that is kept for many requests, one at a time. */
export class Connection {
  constructor({ host, port }) {
    this.socket = connect({ host, port, noDelay: true });
    this.isOpen = true;
    this.reader = new MessageReader((message) => this.take(message));
    this.socket.on('data', (chunk) => this.reader.push(chunk));
    this.socket.on('error', (error) => (this.error = error.code));
    this.socket.on('close', () => this.end(this.error ?? 'closed'));
  }

  /** Resolves with `status`, `headers` and `body`, or with `failure`. */
  request(method, path, headers, body, timeoutMs) {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.end('no answer in time');
        this.socket.destroy();
      }, timeoutMs);
      this.settle = (answer) => {
        clearTimeout(timer);
        this.settle = undefined;
        resolve(answer);
      };
      if (this.isOpen) this.socket.write(requestBytes(method, path, headers, body));
      else this.end('closed before');
    });
  }

  get isFree() {
    return this.isOpen && this.settle === undefined;
  }

  take(message) {
    const status = Number(message.startLine.split(' ')[1]);
    if (status < 200) return;
    if (this.settle === undefined) {
      this.unasked = message;
      return;
    }
    const isLast = message.headers['connection'] === 'close';
    if (isLast) this.isOpen = false;
    this.settle({ status, headers: message.headers, body: message.body });
  }

  end(failure) {
    this.isOpen = false;
    this.settle?.({ failure });
  }

  close() {
    this.isOpen = false;
    this.socket.destroy();
  }
}

/** One request on a connection of its own; see {@link Connection.request}. */
export async function call(address, method, path, headers, body, timeoutMs) {
  const connection = new Connection(address);
  const host = { Host: `${address.host}:${address.port}` };
  const answer = await connection.request(method, path, { ...host, ...headers }, body, timeoutMs);
  connection.close();
  return answer;
}
