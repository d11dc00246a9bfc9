import { Counter, Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { SupervisedDaemon } from '../../src/startup/supervised-daemon.js';

const LONG_MS = 600_000;

class PassingError extends Error {}

/** A supervised daemon whose starts and failures a test decides. */
class Fixture {
  readonly simulation = new Simulation(1);
  readonly registry = new Registry();
  readonly stop = new AbortController();
  starts = 0;
  stops = 0;
  startError: Error | undefined;
  stopNeverEnds = false;
  fail: (error: Error) => void = () => undefined;
  private readonly clock = this.simulation.createMachine('a', 'nayoro').environment.clock;

  start(): Promise<SupervisedDaemon> {
    return SupervisedDaemon.start({
      clock: this.clock,
      logger: SILENT_LOGGER,
      registry: this.registry,
      stopped: this.stop.signal,
      start: async () => this.startOnce(),
      mayStartAgain: (error) => error instanceof PassingError,
    });
  }

  private startOnce() {
    this.starts += 1;
    new Counter({ name: 'entries', help: 'Entries.', registers: [this.registry] });
    if (this.startError !== undefined) throw this.startError;
    const failure = new Promise<Error>((resolve) => (this.fail = resolve));
    const stop = async (): Promise<void> => {
      this.stops += 1;
      if (this.stopNeverEnds) await new Promise(() => undefined);
    };
    return { failure, stop };
  }
}

/** Whether the process would have ended. */
async function hasFailed({ failure }: SupervisedDaemon): Promise<boolean> {
  return (await Promise.race([failure, Promise.resolve(undefined)])) !== undefined;
}

describe('a supervised daemon', () => {
  it('is stopped and started again after a failure that may pass', async () => {
    const fixture = new Fixture();
    const supervised = await fixture.start();
    fixture.fail(new PassingError('no room'));
    await fixture.simulation.runFor(LONG_MS);
    expect(fixture).toMatchObject({ starts: 2, stops: 1 });
    expect(await hasFailed(supervised)).toBe(false);
    await fixture.simulation.settle(supervised.stop());
    expect(fixture.stops).toBe(2);
  });

  it('is started again with bounded pauses for as long as its start fails', async () => {
    const fixture = new Fixture();
    fixture.startError = new PassingError('no room');
    const starting = fixture.start();
    await fixture.simulation.runFor(LONG_MS);
    expect(fixture.starts).toBeGreaterThan(100);
    expect(fixture.starts).toBeLessThan(130);
    fixture.startError = undefined;
    expect(await hasFailed(await fixture.simulation.settle(starting))).toBe(false);
  });

  it('fails, stopped, with a failure that cannot pass', async () => {
    const fixture = new Fixture();
    const supervised = await fixture.start();
    fixture.fail(new Error('damaged'));
    await fixture.simulation.runFor(LONG_MS);
    expect((await supervised.failure).message).toBe('damaged');
    expect(fixture).toMatchObject({ starts: 1, stops: 1 });
  });

  it('does not start with an error that cannot pass', async () => {
    const fixture = new Fixture();
    fixture.startError = new Error('damaged');
    await expect(fixture.start()).rejects.toThrow('damaged');
  });

  // Two daemons on one data folder falsify its log.
  it('is never started beside one that has not stopped', async () => {
    const fixture = new Fixture();
    fixture.stopNeverEnds = true;
    const supervised = await fixture.start();
    fixture.fail(new PassingError('no room'));
    await fixture.simulation.runFor(LONG_MS);
    expect(fixture.starts).toBe(1);
    expect(await hasFailed(supervised)).toBe(true);
  });

  it('ends its wait for the next start when it is told to stop', async () => {
    const fixture = new Fixture();
    const supervised = await fixture.start();
    fixture.startError = new PassingError('no room');
    fixture.fail(fixture.startError);
    await fixture.simulation.runFor(LONG_MS);
    await fixture.simulation.settle(supervised.stop());
    const { starts } = fixture;
    await fixture.simulation.runFor(LONG_MS);
    expect(fixture.starts).toBe(starts);
  });

  it('ends its wait for the first start when the process is told to stop', async () => {
    const fixture = new Fixture();
    fixture.startError = new PassingError('no room');
    const starting = fixture.start();
    const ended = expect(starting).rejects.toThrow('stopped by SIGTERM');
    await fixture.simulation.runFor(LONG_MS);
    fixture.stop.abort(new Error('stopped by SIGTERM'));
    await fixture.simulation.runFor(LONG_MS);
    await ended;
  });
});
