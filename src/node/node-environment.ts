/** The four seams as the operating system provides them. */
import type { DurableEnvironment, Environment } from '../seams/environment.js';
import type { ProcessorMeter } from '../seams/processor-meter.js';
import type { MemoryBudgets } from './memory-budgets.js';
import { NodeClock } from './node-clock.js';
import { NodeDisk } from './node-disk.js';
import { NODE_EVENT_LOOP } from './node-event-loop.js';
import { NodeNetwork } from './node-network.js';
import { PureRandomSource } from './pure-random-source.js';

/** For a daemon without a data folder. */
export function createNodeEnvironment(
  budgets?: MemoryBudgets,
  processor?: ProcessorMeter,
): Environment {
  return {
    clock: new NodeClock(),
    eventLoop: NODE_EVENT_LOOP,
    network: new NodeNetwork(budgets),
    random: PureRandomSource.fromSystem(),
    ...(processor === undefined ? {} : { processor }),
  };
}

/** For a daemon whose data folder is `dataFolder`. */
export function createDurableNodeEnvironment(
  dataFolder: string,
  budgets?: MemoryBudgets,
  processor?: ProcessorMeter,
): DurableEnvironment {
  return { ...createNodeEnvironment(budgets, processor), disk: new NodeDisk(dataFolder) };
}
