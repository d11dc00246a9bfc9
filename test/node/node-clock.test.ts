import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { describe, expect, it, vi } from 'vitest';
import { NodeClock } from '../../src/node/node-clock.js';
import type { ClockReadings } from '../../src/node/suspension-meter.js';

/** Longer than any test may take, so that what ends ended because of the suspension. Milliseconds. */
const LONG_MS = 3_600_000;

/** Clocks of a machine that a test suspends or whose time of day it sets. */
class TestReadings implements ClockReadings {
  private steadyMs = 5;
  private wallMs = 1_000_000;
  private bootMs = 70_000;
  /** Milliseconds that the boot clock counts in one. */
  bootRate = 1;

  steady(): number {
    return this.steadyMs;
  }

  wall(): number {
    return this.wallMs;
  }

  /** In hundredths of a second. */
  boot(): number {
    return Math.floor(this.bootMs / 10) * 10;
  }

  pass(milliseconds: number): void {
    this.steadyMs += milliseconds;
    this.suspend(milliseconds);
  }

  suspend(milliseconds: number): void {
    this.wallMs += milliseconds;
    this.bootMs += milliseconds * this.bootRate;
  }

  setWall(milliseconds: number): void {
    this.wallMs += milliseconds;
  }
}

function createClock(): { readonly clock: NodeClock; readonly readings: TestReadings } {
  const readings = new TestReadings();
  return { readings, clock: new NodeClock(readings) };
}

describe('the clock of a machine that is suspended', () => {
  it('counts the time for which it was', () => {
    const { clock, readings } = createClock();
    const before = clock.now();
    readings.pass(100);
    readings.suspend(7_000);
    readings.pass(100);
    expect(clock.now() - before).toBeGreaterThan(7_100);
    expect(clock.now() - before).toBeLessThan(7_300);
  });

  it('counts each of several suspensions once', () => {
    const { clock, readings } = createClock();
    const before = clock.now();
    for (let count = 0; count < 5; count += 1) {
      readings.suspend(2_000);
      clock.now();
      readings.pass(1_000);
      clock.now();
    }
    expect(Math.abs(clock.now() - before - 15_000)).toBeLessThan(100);
  });

  it('does not follow the time of day, forward or back', () => {
    const { clock, readings } = createClock();
    const before = clock.now();
    for (const jump of [5_000, -5_000, -60_000, 3_600_000]) {
      readings.setWall(jump);
      readings.pass(10);
      clock.now();
    }
    expect(clock.now() - before).toBeCloseTo(40);
  });

  it('counts a suspension during which the time of day was set', () => {
    const { clock, readings } = createClock();
    for (let second = 0; second < 10; second += 1) {
      readings.pass(1_100);
      clock.now();
    }
    const before = clock.now();
    readings.suspend(4_000);
    readings.setWall(-9_000);
    expect(clock.now() - before).toBeGreaterThan(3_900);
  });

  it('never steps back', () => {
    const { clock, readings } = createClock();
    let last = clock.now();
    for (let step = 0; step < 200; step += 1) {
      readings.pass(3);
      readings.setWall(step % 7 === 0 ? 500 : -90);
      if (step % 11 === 0) readings.suspend(60);
      const now = clock.now();
      expect(now).toBeGreaterThanOrEqual(last);
      last = now;
    }
  });

  it.each([
    ['another machine', 1.7],
    ['a slower one', 0.4],
    ['one that stands still', 0],
  ])('does not follow the uptime of %s, whatever the time of day does', (_, rate) => {
    const { clock, readings } = createClock();
    readings.bootRate = rate;
    const before = clock.now();
    for (let second = 0; second < 20; second += 1) {
      readings.pass(900);
      readings.setWall(second % 4 === 0 ? 2_000 : -500);
      clock.now();
    }
    expect(clock.now() - before).toBeCloseTo(20 * 900);
  });

  it('runs timers that fell due meanwhile, once', async () => {
    const { clock, readings } = createClock();
    const slept = clock.sleep(LONG_MS);
    const callback = vi.fn();
    clock.setTimer(LONG_MS, callback);
    readings.suspend(2 * LONG_MS);
    clock.now();
    await slept;
    await vi.waitUntil(() => callback.mock.calls.length > 0);
    clock.now();
    await new Promise(setImmediate);
    expect(callback).toHaveBeenCalledTimes(1);
  });

  it('notices it by itself while a timer waits', async () => {
    const { clock, readings } = createClock();
    const slept = clock.sleep(LONG_MS);
    readings.suspend(2 * LONG_MS);
    await slept;
  });

  it('runs no timer early, and none that was cancelled', async () => {
    const { clock, readings } = createClock();
    const early = vi.fn();
    const cancelled = vi.fn();
    clock.setTimer(3 * LONG_MS, early);
    clock.setTimer(LONG_MS, cancelled).cancel();
    const due = clock.sleep(LONG_MS);
    readings.suspend(2 * LONG_MS);
    clock.now();
    await due;
    await new Promise(setImmediate);
    expect(early).not.toHaveBeenCalled();
    expect(cancelled).not.toHaveBeenCalled();
  });

  it('ends a sleep that is aborted', async () => {
    const { clock } = createClock();
    const abort = new AbortController();
    const slept = clock.sleep(LONG_MS, abort.signal);
    abort.abort(new Error('stopped'));
    await expect(slept).rejects.toThrow('stopped');
    await expect(clock.sleep(LONG_MS, abort.signal)).rejects.toThrow('stopped');
  });
});

describe('the clock of this machine', () => {
  it('goes on, and runs timers', async () => {
    const clock = new NodeClock();
    const before = clock.now();
    await clock.sleep(1);
    expect(clock.now()).toBeGreaterThan(before);
  });
});

function resolvers(): { readonly promise: Promise<void>; resolve: () => void } {
  let resolve: () => void = () => undefined;
  const promise = new Promise<void>((resolvePromise) => (resolve = resolvePromise));
  return { promise, resolve };
}

/** Keeps the event loop from running, as a process that gets no processor time. */
function block(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

describe('a timeout of a process that was held up', () => {
  // Guards against timeouts that strike although what they wait for has arrived.
  it('runs after what has arrived meanwhile was read', async () => {
    const order: string[] = [];
    const answered = resolvers();
    const server = createServer((peer) => peer.write('answer', () => answered.resolve()));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1').pause();
    await answered.promise;
    const timedOut = resolvers();
    socket.on('data', () => order.push('answer')).resume();
    const conclude = (): void => {
      order.push('timeout');
      timedOut.resolve();
    };
    new NodeClock().setTimer(20, conclude, { afterReading: true });
    block(60);
    await timedOut.promise;
    expect(order).toEqual(['answer', 'timeout']);
    socket.destroy();
    server.close();
  });

  it('does not run when it is cancelled before that', async () => {
    const callback = vi.fn();
    const timer = new NodeClock().setTimer(5, callback, { afterReading: true });
    const cancelled = new Promise<void>((resolve) => {
      setTimeout(() => resolve(timer.cancel()), 10);
    });
    block(30);
    await cancelled;
    await new Promise((resolve) => setImmediate(resolve));
    expect(callback).not.toHaveBeenCalled();
  });
});
