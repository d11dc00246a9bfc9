// Guards against idle processes that are woken up a hundred times a second to measure their own event loop.
import perfHooks from 'node:perf_hooks';
import { describe, expect, it, vi } from 'vitest';
import { createTelemetry } from '../../src/commands/daemon-process.js';

/** Wake-ups a second that metrics may cost a process without requests. */
const MAXIMUM_WAKE_UPS_PER_SECOND = 10;

describe('the metrics of a process', () => {
  it('wake it up at most ten times a second', () => {
    const monitor = vi.spyOn(perfHooks, 'monitorEventLoopDelay');
    createTelemetry('json', process.stdout);
    const resolutions = monitor.mock.calls.map(([options]) => options?.resolution ?? 10);
    expect(resolutions).not.toEqual([]);
    const wakeUps = resolutions.reduce((sum, milliseconds) => sum + 1_000 / milliseconds, 0);
    expect(wakeUps).toBeLessThanOrEqual(MAXIMUM_WAKE_UPS_PER_SECOND);
  });
});
