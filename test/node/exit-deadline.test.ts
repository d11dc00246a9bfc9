/** Tests the end of a process that something keeps running after its daemon has stopped. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { enforceExit } from '../../src/node/exit-deadline.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

it('names what keeps the process running, then ends it with its exit code', () => {
  const error = vi.fn();
  const exit = vi.fn();
  const getActiveResourcesInfo = (): string[] => ['Timeout', 'TCPSocketWrap'];
  enforceExit({ ...SILENT_LOGGER, error }, 1, { exit, getActiveResourcesInfo });
  expect(exit).not.toHaveBeenCalled();
  vi.runAllTimers();
  expect(error).toHaveBeenCalledWith('process still running after its stop', {
    resources: 'Timeout TCPSocketWrap',
  });
  expect(exit).toHaveBeenCalledWith(1);
});
