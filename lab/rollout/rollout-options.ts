/** What one simulated rollout of route documents consists of. */

/** What strikes while documents follow each other. */
export enum RolloutFault {
  /** A controller's machine loses its power. */
  PowerLoss = 'power-loss',
  /** A controller's process ends and starts again soon. */
  Restart = 'restart',
  /** A controller is cut off from everybody, in silence. */
  Cut = 'cut',
  /** A controller and the gateways of its zone cannot reach each other. */
  GatewayCut = 'gateway-cut',
  /** A controller hears everybody and is heard by nobody. */
  OneWayCut = 'one-way-cut',
  /** A controller's machine stands still. */
  Freeze = 'freeze',
  /** A gateway ends and starts again. */
  GatewayRestart = 'gateway-restart',
}

/** Every kind of fault. */
export const ROLLOUT_FAULTS: readonly RolloutFault[] = Object.values(RolloutFault);

/** Settings of a run. */
export interface RolloutOptions {
  readonly seed: number;
  /** Zones, the first ones with one controller each. */
  readonly zones: number;
  readonly controllers: number;
  readonly gatewaysPerZone: number;
  /** Time for which documents follow each other. Milliseconds. */
  readonly durationMs: number;
  /** Pause after each document that was accepted; drawn anew now and then where there are several. Milliseconds. */
  readonly pausesMs: readonly number[];
  readonly faults: readonly RolloutFault[];
  /** Faults that may strike at once. */
  readonly faultsAtOnce: number;
  /** Routes of each document, which set its size. */
  readonly routes: number;
}

/** Pauses at which changes come one by one, in a row, and as fast as they are accepted. */
const DEFAULT_PAUSES_MS: readonly number[] = [0, 20, 60, 300, 450, 900, 1_100, 1_180, 2_500];

export const DEFAULT_ROLLOUT_OPTIONS: RolloutOptions = {
  seed: 1,
  zones: 4,
  controllers: 4,
  gatewaysPerZone: 2,
  durationMs: 40_000,
  pausesMs: DEFAULT_PAUSES_MS,
  faults: ROLLOUT_FAULTS,
  faultsAtOnce: 1,
  routes: 20,
};
