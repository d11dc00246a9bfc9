/** How long and how hard a measurement of the router's cost runs. */

/** All durations in milliseconds. */
export interface RouterCostOptions {
  readonly fanOuts: readonly number[];
  /** Alternations of bare client and router that count; one more before them does not. */
  readonly rounds: number;
  /** Load before each reading begins. */
  readonly settle: number;
  /** Length of each reading. */
  readonly interval: number;
  /** Kept the same at every fan-out, so that the rate of queries falls as fan-out grows. */
  readonly backendRequestsPerSecond: number;
  readonly backendProcesses: number;
  /** Numbers of queries in flight at which memory is read. */
  readonly inFlightCounts: readonly number[];
  readonly inFlightFanOuts: readonly number[];
  /** Numbers of idle caller connections at which memory is read. */
  readonly idleCounts: readonly number[];
}

export const FULL_ROUTER_COST: RouterCostOptions = {
  fanOuts: [8, 24, 60, 240],
  rounds: 5,
  settle: 1_000,
  interval: 4_000,
  backendRequestsPerSecond: 2_400,
  backendProcesses: 3,
  inFlightCounts: [0, 50, 100, 200, 400],
  inFlightFanOuts: [8, 24],
  idleCounts: [0, 500, 1_000, 2_000, 4_000],
};

export const QUICK_ROUTER_COST: RouterCostOptions = {
  ...FULL_ROUTER_COST,
  fanOuts: [8, 24],
  rounds: 2,
  interval: 1_500,
  inFlightCounts: [0, 25, 50, 100],
  inFlightFanOuts: [8],
  idleCounts: [0, 250, 500, 1_000],
};
