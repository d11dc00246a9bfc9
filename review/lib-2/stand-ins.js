/** Stand-ins for clients, the operator, replicas and a delaying proxy, as the pages describe them. */
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import http from 'node:http';
import net from 'node:net';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { PORTS, sleep } from './deployment.js';

export const now = () => performance.now();

/** Sends one request on a connection of its own; resolves with status 0 when there is no whole answer. */
export function call({ host, port, method = 'GET', path, headers = {}, body, timeoutMs, agent }) {
  return new Promise((resolve) => {
    const sentAt = now();
    let timer;
    const finish = (result) => {
      clearTimeout(timer);
      resolve({ sentAt, endedAt: now(), ...result });
    };
    const options = { host, port, method, path, headers, agent: agent ?? false };
    const request = http.request(options, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => finish({ status: 0, error: 'answer broken off' }));
      response.on('end', () => {
        if (!response.complete) return finish({ status: 0, error: 'answer broken off' });
        const content = Buffer.concat(chunks);
        finish({ status: response.statusCode, headers: response.headers, body: content });
      });
    });
    request.on('error', (error) => finish({ status: 0, error: error.code ?? error.message }));
    if (timeoutMs !== undefined)
      timer = setTimeout(() => {
        request.destroy();
        finish({ status: 0, error: 'client timeout' });
      }, timeoutMs);
    request.end(body);
  });
}

/** Calls one controller after the other until one gives a 2xx; undefined after `forMs`. */
export async function callControl(
  addresses,
  { method, path, body },
  forMs = 10_000,
  eachMs = 1_000,
) {
  const until = now() + forMs;
  const headers = body === undefined ? {} : { 'content-type': 'application/json' };
  for (let turn = 0; now() < until; turn += 1) {
    const { host, port } = addresses[turn % addresses.length];
    const answer = await call({ host, port, method, path, headers, body, timeoutMs: eachMs });
    if (answer.status >= 200 && answer.status < 300) return { ...answer, host };
    if (answer.status >= 400 && answer.status < 500) return { ...answer, host };
    await sleep(50);
  }
  return undefined;
}

export const putConfig = (addresses, config, forMs) =>
  callControl(
    addresses,
    { method: 'PUT', path: '/v1/routes', body: JSON.stringify(config) },
    forMs,
    2_000,
  );

export const isReady = async (machine) =>
  (await call({ host: machine.ip, port: PORTS.ready, path: '/readyz', timeoutMs: 900 })).status ===
  200;

/** Waits until all gateways say that they are ready. */
export async function untilReady(machines, forMs = 30_000) {
  const until = now() + forMs;
  for (;;) {
    const ready = await Promise.all(machines.map(isReady));
    if (ready.every(Boolean)) return true;
    if (now() > until) return false;
    await sleep(100);
  }
}

export const newId = () => randomBytes(8).toString('hex');

/** A replica: registers itself, works on `slots` requests at a time and queues `queue` more. */
export class Replica {
  constructor({
    service,
    host,
    port,
    zone,
    controllers,
    slots = 2,
    queue = 4,
    workMs = 20,
    tellsLoad = true,
  }) {
    Object.assign(this, {
      service,
      host,
      port,
      zone,
      controllers,
      slots,
      queue,
      workMs,
      tellsLoad,
    });
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.state = 'ready';
    this.sequence = 0;
    this.running = 0;
    this.waiting = [];
    /** Every request with an id that arrived: { at, id, run, ... }. */
    this.arrivals = [];
    this.isStopped = false;
    this.connections = new Set();
    /** May be replaced by a case; true means that the request is dealt with. */
    this.intercept = undefined;
  }

  async start() {
    this.server = http.createServer((request, response) => this.serve(request, response));
    this.server.keepAliveTimeout = 30_000;
    this.server.on('connection', (socket) => {
      this.connections.add(socket);
      socket.on('close', () => this.connections.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.port = this.server.address().port;
    void this.beat();
  }

  /** Ends without a word: the port refuses connections. */
  crash() {
    this.isStopped = true;
    this.server.close();
    for (const socket of this.connections) socket.resetAndDestroy();
  }

  stop() {
    this.isStopped = true;
    this.server.close();
    for (const socket of this.connections) socket.destroy();
  }

  beatBody() {
    const { service, zone, slots: capacity, state } = this;
    this.sequence += 1;
    const { sequence } = this;
    const address = `${this.host}:${this.port}`;
    const fields = { service, address, zone, version: 'v1', capacity, state };
    return JSON.stringify({ ...fields, warmupRemainingMs: 0, sequence });
  }

  /** One heartbeat, to the first controller that acknowledges it within a second. */
  async sendBeat(addresses = this.controllers) {
    const path = `/v1/replicas/${this.id}`;
    const body = this.beatBody();
    const headers = { 'content-type': 'application/json' };
    for (const { host, port } of addresses) {
      const answer = await call({
        host,
        port,
        method: 'PUT',
        path,
        headers,
        body,
        timeoutMs: 1_000,
      });
      if (answer.status >= 200 && answer.status < 300) return { ...answer, host };
    }
    return undefined;
  }

  async beat() {
    while (!this.isStopped) {
      await this.sendBeat();
      await sleep(1_200);
    }
  }

  loadHeader() {
    return this.tellsLoad
      ? { 'X-Server-Load': `${this.running},${this.waiting.length},${this.slots}` }
      : {};
  }

  serve(request, response) {
    const id = request.headers['x-request-id'];
    if (id === undefined) {
      response.writeHead(this.state === 'ready' ? 200 : 503, {
        'X-Instance-Id': this.id,
        ...this.loadHeader(),
      });
      response.end();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.arrive(request, response, id, Buffer.concat(chunks)));
  }

  arrive(request, response, id, body) {
    const { method, url, headers } = request;
    const arrival = {
      at: now(),
      id,
      method,
      url,
      headers,
      body,
      ran: false,
      replica: this.id,
      service: this.service,
    };
    this.arrivals.push(arrival);
    const named = { 'X-Request-Id': id };
    if (headers['x-target-instance'] !== undefined && headers['x-target-instance'] !== this.id) {
      response.writeHead(421, { ...named, 'X-Instance-Id': this.id });
      response.end();
      return;
    }
    const job = { arrival, response, named, isGone: false };
    response.on('close', () => (job.isGone = true));
    if (this.running < this.slots) this.run(job);
    else if (this.waiting.length < this.queue) this.waiting.push(job);
    else {
      response.writeHead(503, { ...named, 'X-Not-Executed': '1', ...this.loadHeader() });
      response.end();
    }
  }

  run(job) {
    const { arrival, response, named } = job;
    this.running += 1;
    arrival.ran = true;
    arrival.ranAt = now();
    const done = () => {
      this.running -= 1;
      arrival.endedAt = now();
      if (!job.isGone) {
        const content = this.answerBody(arrival);
        arrival.signature = `${this.id}.${arrival.id}.${this.arrivals.length}`;
        response.writeHead(200, {
          ...named,
          'X-Response-Signature': arrival.signature,
          ...this.loadHeader(),
          'Content-Length': content.length,
        });
        response.end(content);
      }
      this.next();
    };
    if (this.intercept?.(job, done) === true) return;
    const work = typeof this.workMs === 'function' ? this.workMs(arrival) : this.workMs;
    // Most replicas drop a request when its connection closes.
    const timer = setTimeout(done, work);
    response.once('close', () => {
      if (arrival.endedAt !== undefined) return;
      clearTimeout(timer);
      arrival.endedAt = now();
      arrival.isDropped = true;
      this.running -= 1;
      this.next();
    });
  }

  next() {
    while (this.running < this.slots && this.waiting.length > 0) {
      const job = this.waiting.shift();
      if (!job.isGone) this.run(job);
    }
  }

  answerBody(arrival) {
    return Buffer.from(`answer of ${this.id} to ${arrival.id}`);
  }
}

/** Passes bytes on between a fixed address and a target; a case may hold them up or cut them. */
export class Proxy {
  constructor({ host, port, target }) {
    Object.assign(this, { host, port, target });
    this.pairs = new Set();
    this.isHolding = false;
  }

  async start() {
    this.server = net.createServer({ allowHalfOpen: false }, (inner) => {
      const outer = net.connect(this.target);
      const pair = { inner, outer };
      this.pairs.add(pair);
      const end = () => {
        inner.destroy();
        outer.destroy();
        this.pairs.delete(pair);
      };
      for (const socket of [inner, outer]) socket.on('error', end).on('close', end);
      inner.pipe(outer);
      outer.pipe(inner);
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
  }

  stop() {
    this.server.close();
    for (const { inner, outer } of this.pairs) {
      inner.destroy();
      outer.destroy();
    }
  }
}
