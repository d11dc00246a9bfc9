/** Tells which limits a process runs under, and when its memory comes near its limit. */
import { Counter, Gauge, type Registry } from 'prom-client';
import type { ByteBudget } from '../node/byte-budget.js';
import { divideMemory, type MemoryBudgets } from '../node/memory-budgets.js';
import {
  availableMemory,
  descriptorLimit,
  heapLimit,
  PROCESS_MEMORY,
} from '../node/process-memory.js';
import { repeatWhileRunning } from '../node/repeat-while-running.js';
import { BudgetWatch } from '../observability/budget-watch.js';
import { MemoryWatch, type HeldBytes } from '../observability/memory-watch.js';
import type { Telemetry } from '../observability/telemetry.js';

/** Memory can grow by more than a gigabyte in a second. Milliseconds. */
const CHECK_INTERVAL_MS = 250;

/**
 * Call before the daemon starts. `configuredLimit` in bytes; undefined for what the machine has. Returns the
 * budgets for the daemon's environment.
 */
export function watchMemory(
  { logger, registry }: Telemetry,
  configuredLimit: number | undefined,
): MemoryBudgets {
  const limitBytes = configuredLimit ?? availableMemory();
  const budgets = divideMemory(limitBytes);
  logger.info('process limits', {
    pid: process.pid,
    node: process.version,
    architecture: process.arch,
    memoryLimitBytes: limitBytes,
    heapLimitBytes: heapLimit(),
    descriptorLimit: descriptorLimit(),
  });
  registerGauges(registry, limitBytes, budgets);
  const held = (): HeldBytes => ({
    responseBytes: budgets.responses.heldBytes,
    requestBytes: budgets.requests.heldBytes,
    messageBytes: budgets.messages.heldBytes,
    unservedBytes: budgets.unserved.heldBytes,
  });
  const watch = new MemoryWatch({ reader: PROCESS_MEMORY, held, limitBytes, logger });
  const budgetWatches = Object.entries(budgets).map(
    ([kind, budget]) => new BudgetWatch({ kind, countGivenUp: () => totalGivenUp(budget), logger }),
  );
  repeatWhileRunning(CHECK_INTERVAL_MS, () => {
    watch.check();
    for (const budgetWatch of budgetWatches) budgetWatch.check();
  });
  return budgets;
}

function totalGivenUp({ givenUp }: ByteBudget): number {
  let total = 0;
  for (const count of givenUp.values()) total += count;
  return total;
}

function registerGauges(registry: Registry, limitBytes: number, budgets: MemoryBudgets): void {
  new Gauge({
    name: 'driftway_memory_limit_bytes',
    help: 'Memory that this process may use, buffers included.',
    registers: [registry],
  }).set(limitBytes);
  new Gauge({
    name: 'driftway_held_bytes',
    help: 'Bytes of responses, requests and messages that are held until they are whole or passed on.',
    labelNames: ['kind'],
    registers: [registry],
    collect() {
      for (const [kind, { heldBytes }] of Object.entries(budgets)) this.set({ kind }, heldBytes);
    },
  });
  new Counter({
    name: 'driftway_given_up_total',
    help: 'Responses, requests and message connections given up because those of all peers held too much.',
    labelNames: ['kind', 'reason'],
    registers: [registry],
    collect() {
      this.reset();
      for (const [kind, { givenUp }] of Object.entries(budgets)) {
        for (const [reason, count] of givenUp) this.inc({ kind, reason }, count);
      }
    },
  });
}
