/** Sizes and times of the scale run. */
import type { ControlSize } from './control-bench.js';
import type { ControlPace } from './control-reading.js';
import type { RegistryOptions } from './registry-series.js';
import type { GrowthSizes } from './state-growth.js';

/** The parts of a scale run; each can be repeated alone. */
export const SCALE_PARTS = [
  'growth',
  'daemons',
  'replicas',
  'controllers',
  'registry',
  'expected',
] as const;
export type ScalePart = (typeof SCALE_PARTS)[number];

/** What each part runs. */
export interface ScaleOptions {
  readonly pace: ControlPace;
  readonly growth: GrowthSizes;
  /** Over the number of daemons. */
  readonly daemons: readonly ControlSize[];
  /** Over the number of replicas in the configuration. */
  readonly replicas: readonly ControlSize[];
  /** Over the number of controllers. */
  readonly controllers: readonly ControlSize[];
  readonly registry: RegistryOptions;
  /** One run as near as the machine allows to the size expected within two years. */
  readonly expected: { readonly size: ControlSize; readonly pace: ControlPace };
}

const REPLICA_COUNTS = [500, 1_500, 3_000, 6_700];

const FULL_SCALE: ScaleOptions = {
  pace: { settle: 3_000, rest: 10_000, changes: 6, changeInterval: 1_500 },
  growth: { replicas: REPLICA_COUNTS, changes: [0, 500, 1_000, 2_000, 4_000], zones: 9 },
  daemons: [100, 300, 600, 1_100].map((daemons) => ({ controllers: 3, daemons, replicas: 480 })),
  replicas: REPLICA_COUNTS.map((replicas) => ({ controllers: 3, daemons: 60, replicas })),
  controllers: [3, 5, 7, 9].map((controllers) => ({ controllers, daemons: 180, replicas: 480 })),
  registry: { replicas: [250, 500, 1_000, 2_000], zones: 9, settle: 6_000, interval: 5_000 },
  expected: {
    size: { controllers: 9, daemons: 1_100, replicas: 6_700 },
    // A change is about 15 s of CPU at 1,100 daemons on one machine; it must be over before the next.
    pace: { settle: 20_000, rest: 10_000, changes: 3, changeInterval: 20_000 },
  },
};

const QUICK_SCALE: ScaleOptions = {
  pace: { settle: 2_000, rest: 3_000, changes: 5, changeInterval: 300 },
  growth: { replicas: [100, 200, 400], changes: [0, 100, 200], zones: 3 },
  daemons: [20, 40, 80].map((daemons) => ({ controllers: 3, daemons, replicas: 100 })),
  replicas: [100, 400, 800].map((replicas) => ({ controllers: 3, daemons: 20, replicas })),
  controllers: [1, 3, 5].map((controllers) => ({ controllers, daemons: 20, replicas: 100 })),
  registry: { replicas: [50, 100, 200], zones: 3, settle: 2_000, interval: 2_000 },
  expected: {
    size: { controllers: 5, daemons: 80, replicas: 800 },
    pace: { settle: 5_000, rest: 3_000, changes: 3, changeInterval: 2_000 },
  },
};

/** Small enough for a test: shows that the run works, not what anything costs. */
const TINY_SCALE: ScaleOptions = {
  pace: { settle: 100, rest: 200, changes: 2, changeInterval: 50 },
  growth: { replicas: [2, 4, 6], changes: [0, 2, 4], zones: 1 },
  daemons: [4, 6, 8].map((daemons) => ({ controllers: 1, daemons, replicas: 4 })),
  replicas: [2, 4, 6].map((replicas) => ({ controllers: 1, daemons: 4, replicas })),
  controllers: [1, 2, 3].map((controllers) => ({ controllers, daemons: 4, replicas: 4 })),
  registry: { replicas: [2, 4, 6], zones: 1, settle: 100, interval: 700 },
  expected: {
    size: { controllers: 2, daemons: 4, replicas: 8 },
    pace: { settle: 100, rest: 200, changes: 2, changeInterval: 50 },
  },
};

/** Runs by the name an operator gives. */
export const SCALE_SIZES = { full: FULL_SCALE, quick: QUICK_SCALE, tiny: TINY_SCALE };
export type ScaleSize = keyof typeof SCALE_SIZES;
