/**
 * The program of a process whose daemon is stopped: it says when it has started, and when it is told to
 * stop; its stop ends with its standard input.
 */
import { runDaemon } from '../../../src/commands/daemon-process.js';
import type { Logger } from '../../../src/observability/logger.js';

const logger: Logger = {
  info: (message) => void process.stdout.write(`${message}\n`),
  warn: () => undefined,
  error: () => undefined,
  child: () => logger,
};

const inputEnded = new Promise<void>((resolve) => process.stdin.once('end', resolve));
process.stdin.resume();
process.exitCode = await runDaemon(logger, () => Promise.resolve({ stop: () => inputEnded }));
