/** The four seams together, as handed to every daemon. */
import type { Clock } from './clock.js';
import type { Disk } from './disk.js';
import type { EventLoop } from './event-loop.js';
import type { Network } from './network.js';
import type { ProcessorMeter } from './processor-meter.js';
import type { RandomSource } from './random-source.js';

/** What a daemon without a data folder needs. */
export interface Environment {
  readonly clock: Clock;
  /** Absent where processes share a loop, as in simulations. */
  readonly eventLoop?: EventLoop;
  readonly network: Network;
  /** Absent where processes share a loop, as in simulations. */
  readonly processor?: ProcessorMeter;
  readonly random: RandomSource;
}

/** What a daemon with a data folder needs. */
export interface DurableEnvironment extends Environment {
  readonly disk: Disk;
}
