/** Clients as PROTOCOL.md has them: kept connections, one attempt a request, one id an attempt. */
import { randomBytes } from 'node:crypto';
import { clearInterval, setInterval } from 'node:timers';
import { Connection } from './client.js';
import { sleep } from './fleet.js';

const TICK_MS = 4;

/** Sends requests at a rate to gateways that are in, and notes what came back. */
export class Clients {
  /** @param options - `fleet`, `record`, `perSecond`, `tickMs` (the requests of so long go out together), `next()`: `{method, path, headers, body, deadlineMs}`. */
  constructor(options) {
    this.options = options;
    this.kept = new Map();
    this.sent = [];
    this.inFlight = new Set();
  }

  start() {
    const { perSecond } = this.options;
    const startedAt = this.options.record.now();
    let due = 0;
    // By the clock: timers of a few milliseconds come late.
    this.timer = setInterval(() => {
      const elapsed = this.options.record.now() - startedAt;
      for (; due < (elapsed * perSecond) / 1_000; due += 1) this.sendNext();
    }, this.options.tickMs ?? TICK_MS);
  }

  async stop(patienceMs = 10_000) {
    clearInterval(this.timer);
    await Promise.race([Promise.all(this.inFlight), sleep(patienceMs)]);
    for (const connections of this.kept.values()) for (const one of connections) one.close();
  }

  sendNext() {
    const gateways = this.options.fleet.gatewaysIn;
    const gateway = gateways[Math.floor(Math.random() * gateways.length)];
    const call = this.send(gateway, this.options.next());
    this.inFlight.add(call);
    void call.then(() => this.inFlight.delete(call));
  }

  connectionTo(gateway) {
    const kept = (this.kept.get(gateway) ?? []).filter(({ isOpen }) => isOpen);
    this.kept.set(gateway, kept);
    const free = kept.find(({ isFree }) => isFree);
    if (free !== undefined) return free;
    const opened = new Connection(gateway.front);
    kept.push(opened);
    return opened;
  }

  /** One client attempt; resolves with its note. */
  async send(gateway, { method, path, headers, body = '', deadlineMs }) {
    const { record } = this.options;
    const id = randomBytes(8).toString('hex');
    const note = { id, gateway: gateway.name, method, path, sentAt: record.now() };
    this.sent.push(note);
    record.note('client sent', { id, gateway: gateway.name, method, path });
    const named = { ...headers, 'X-Request-Id': id, 'X-Deadline-Ms': String(deadlineMs) };
    const connection = this.connectionTo(gateway);
    note.answer = await connection.request(method, path, named, body, deadlineMs);
    note.answeredAt = record.now();
    const { status, failure } = note.answer;
    record.note('client got', { id, status, failure });
    return note;
  }
}
