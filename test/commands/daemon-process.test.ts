import { EventEmitter } from 'node:events';
import { afterEach, expect, it, vi } from 'vitest';
import { ExitCode, runDaemon } from '../../src/commands/daemon-process.js';
import { DriftwayError } from '../../src/errors/driftway-error.js';
import type { LogFields, Logger } from '../../src/observability/logger.js';

/** Keeps the fields of each error line under its message. */
/** Signals and uncaught errors as the test says; nothing ends the process of the test. */
function createProcessEvents() {
  return Object.assign(new EventEmitter(), { exit: () => undefined });
}

class RecordingLogger implements Logger {
  readonly errors = new Map<string, LogFields>();
  readonly info = (): void => undefined;
  readonly warn = (): void => undefined;

  error(message: string, fields: LogFields = {}): void {
    this.errors.set(message, fields);
  }

  child(): Logger {
    return this;
  }
}

it('stops as planned, once, after errors outside its tasks', async () => {
  const logger = new RecordingLogger();
  const uncaught = createProcessEvents();
  let stops = 0;
  const stop = (): Promise<void> => {
    stops += 1;
    return Promise.resolve();
  };
  const ended = runDaemon(logger, () => Promise.resolve({ stop }), uncaught);
  const error = new DriftwayError('no such state', { step: 'connect', peer: '10.0.0.1:80' });
  uncaught.emit('uncaughtException', error, 'uncaughtException');
  uncaught.emit('uncaughtException', 'a second one', 'unhandledRejection');
  expect(await ended).toBe(ExitCode.Failure);
  expect(stops).toBe(1);
  expect(logger.errors.get('error outside a task')).toMatchObject({ reason: 'a second one' });
  expect(logger.errors.get('stopping')).toMatchObject({ reason: error.message });
});

it('names the step and peer of an error outside its tasks', async () => {
  const logger = new RecordingLogger();
  const uncaught = createProcessEvents();
  const stop = (): Promise<void> => Promise.resolve();
  const ended = runDaemon(logger, () => Promise.resolve({ stop }), uncaught);
  const error = new DriftwayError('no such state', { step: 'connect', peer: '10.0.0.1:80' });
  uncaught.emit('uncaughtException', error, 'uncaughtException');
  await ended;
  expect(logger.errors.get('error outside a task')).toMatchObject({
    step: 'connect',
    peer: '10.0.0.1:80',
    origin: 'uncaughtException',
  });
});

it('ends with a failure when such an error comes while it starts', async () => {
  const logger = new RecordingLogger();
  const uncaught = createProcessEvents();
  const ended = runDaemon(logger, () => new Promise(() => undefined), uncaught);
  uncaught.emit('uncaughtException', new Error('broken'), 'uncaughtException');
  expect(await ended).toBe(ExitCode.Failure);
  expect(logger.errors.get('daemon failed')).toMatchObject({ reason: 'broken' });
});

afterEach(() => {
  vi.useRealTimers();
});

it('ends although what it stops for after such an error never ends', async () => {
  vi.useFakeTimers();
  const logger = new RecordingLogger();
  const uncaught = createProcessEvents();
  const stop = (): Promise<void> => new Promise(() => undefined);
  const ended = runDaemon(logger, () => Promise.resolve({ stop }), uncaught);
  uncaught.emit('uncaughtException', new Error('broken'), 'uncaughtException');
  await vi.runAllTimersAsync();
  expect(await ended).toBe(ExitCode.Failure);
});

it('ends at once and with success when it is told to stop while its start waits', async () => {
  const logger = new RecordingLogger();
  const events = createProcessEvents();
  const start = (stopped: AbortSignal): Promise<never> =>
    new Promise((_, reject) => {
      stopped.addEventListener('abort', () => reject(stopped.reason as Error));
    });
  const ended = runDaemon(logger, start, events);
  events.emit('SIGTERM', 'SIGTERM');
  expect(await ended).toBe(ExitCode.Success);
  expect([...logger.errors.keys()]).toEqual([]);
});

it('ends with success when it is told to stop and its start never ends', async () => {
  vi.useFakeTimers();
  const events = createProcessEvents();
  const ended = runDaemon(new RecordingLogger(), () => new Promise(() => undefined), events);
  events.emit('SIGTERM', 'SIGTERM');
  await vi.runAllTimersAsync();
  expect(await ended).toBe(ExitCode.Success);
});

it('stops as planned a daemon that has started although it was told to stop', async () => {
  const events = createProcessEvents();
  let stops = 0;
  const stop = async (): Promise<void> => void (stops += 1);
  let started = (): void => undefined;
  const starting = new Promise<{ stop: typeof stop }>((resolve) => {
    started = () => resolve({ stop });
  });
  const ended = runDaemon(new RecordingLogger(), () => starting, events);
  events.emit('SIGTERM', 'SIGTERM');
  started();
  expect(await ended).toBe(ExitCode.Success);
  expect(stops).toBe(1);
});
