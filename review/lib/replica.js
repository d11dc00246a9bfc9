/**
 * A stand-in replica that follows PROTOCOL.md: it registers itself with heartbeats, works on
 * `capacity` requests at a time, queues a few more and turns the rest away with
 * `X-Not-Executed`. A case may change single answers through `spoil`.
 */
import { createServer } from 'node:net';
import { randomBytes } from 'node:crypto';
import { setTimeout, clearTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';
import { call } from './client.js';
import { MessageReader } from './messages.js';

const HEARTBEAT_MS = 1_200;
const REASONS = { 200: 'OK', 421: 'Misdirected Request', 500: 'Error', 503: 'Unavailable' };

function answerBytes(status, headers, body) {
  const fields = { ...headers, 'Content-Length': String(body.length) };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 ${status} ${REASONS[status]}\r\n${lines.join('')}\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), body]);
}

export class Replica {
  /**
   * @param options - `service`, `host`, `port`, `zone`, `capacity`, `queue`, `workMs()`,
   *   `controllers` ({host, port}), `record`, and optionally `spoil(bytes, context)`, which
   *   returns the bytes to send, and `body(request)`.
   */
  constructor(options) {
    this.options = options;
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.sequence = 0;
    this.state = 'ready';
    this.running = 0;
    this.waiting = [];
    this.sockets = new Set();
  }

  async start() {
    const { host, port } = this.options;
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    await this.beat();
  }

  async beat() {
    if (this.isStopped) return;
    this.beating = setTimeout(() => void this.beat(), HEARTBEAT_MS);
    await this.register();
  }

  /** True once a controller has acknowledged the state. */
  async register() {
    const { service, host, port, zone, capacity, controllers } = this.options;
    this.sequence += 1;
    const body = JSON.stringify({
      service,
      address: `${host}:${port}`,
      zone,
      Version: 'v1',
      capacity,
      state: this.state,
      warmupRemainingMs: 0,
      sequence: this.sequence,
    });
    for (const controller of controllers) {
      const answer = await call(controller, 'PUT', `/v1/replicas/${this.id}`, {}, body, 1_000);
      if (answer.status >= 200 && answer.status < 300) return true;
    }
    return false;
  }

  stop() {
    this.isStopped = true;
    clearTimeout(this.beating);
    for (const socket of this.sockets) socket.destroy();
    this.server?.close();
  }

  accept(socket) {
    this.sockets.add(socket);
    const reader = new MessageReader((message) => this.handle(socket, message));
    socket.on('data', (chunk) => reader.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
  }

  handle(socket, message) {
    const [method, target] = message.startLine.split(' ');
    const { headers } = message;
    const request = { method, target, headers, body: message.body, socket };
    request.id = headers['x-request-id'];
    const { capacity, queue } = this.options;
    if (request.id === undefined) {
      this.send(request, 200, { 'X-Instance-Id': this.id }, 'health');
      return;
    }
    const named = headers['x-target-instance'];
    if (named !== undefined && named !== this.id) {
      this.send(request, 421, { 'X-Request-Id': request.id, 'X-Not-Executed': '1' }, 'misdirected');
      return;
    }
    if (this.running < capacity) this.run(request);
    else if (this.waiting.length < queue) this.waiting.push(request);
    else this.refuse(request);
  }

  refuse(request) {
    this.options.record.note('replica refused', { replica: this.id, id: request.id });
    const headers = { 'X-Request-Id': request.id, 'X-Not-Executed': '1' };
    this.send(request, 503, headers, 'refused');
  }

  run(request) {
    const { record, workMs } = this.options;
    this.running += 1;
    record.runs.push({ id: request.id, at: record.now(), replica: this.id });
    const fields = { replica: this.id, service: this.options.service, id: request.id };
    record.note('replica runs', { ...fields, method: request.method, target: request.target });
    setTimeout(() => {
      this.running -= 1;
      const signature = `${this.id}.${request.id}`;
      const headers = { 'X-Request-Id': request.id, 'X-Response-Signature': signature };
      this.send(request, 200, headers, 'answered');
      const next = this.waiting.shift();
      if (next !== undefined) this.run(next);
    }, workMs(request));
  }

  send(request, status, headers, kind) {
    const { record, service, capacity, spoil, body } = this.options;
    const load = `${this.running},${this.waiting.length},${capacity}`;
    const content = Buffer.from(kind === 'answered' && body !== undefined ? body(request) : kind);
    const bytes = answerBytes(status, { ...headers, 'X-Server-Load': load }, content);
    const context = { kind, request, replica: this };
    const sent = spoil === undefined ? bytes : spoil(bytes, context);
    if (kind !== 'health') {
      const isSpoiled = sent !== bytes;
      const fields = { replica: this.id, service, id: request.id, status, isSpoiled };
      record.note('replica answers', fields);
    }
    if (!request.socket.destroyed) request.socket.write(sent);
  }
}
