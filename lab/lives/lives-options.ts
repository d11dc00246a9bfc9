/** What one run of the simulation of replicas that start again under their ids consists of. */

/** Settings of a run. */
export interface LivesOptions {
  readonly seed: number;
  /** Replicas of the one service. */
  readonly replicas: number;
  /** Time for which replicas end and start again, and controllers fail. Milliseconds. */
  readonly durationMs: number;
  /** Between two requests of a caller; each gateway has one. Milliseconds. */
  readonly callIntervalMs: number;
}

export const DEFAULT_LIVES_OPTIONS: LivesOptions = {
  seed: 1,
  replicas: 4,
  durationMs: 40_000,
  callIntervalMs: 40,
};
