/** Named sets of policies that a bench compares; each overrides what the trace's settings choose. */
import type { SettingsOverride } from '../../src/settings/service-settings.js';

/** The simplest choice in every decision. */
const BASELINE: SettingsOverride = {
  replicaSelection: 'random',
  hedging: 'none',
  completionPolicy: 'wait_for_all',
  admission: 'bounded',
};

export const POLICY_SETS: Readonly<Record<string, SettingsOverride>> = {
  baseline: BASELINE,
  least_in_flight: { ...BASELINE, replicaSelection: 'least_in_flight' },
  power_of_two: { ...BASELINE, replicaSelection: 'power_of_two' },
  hedge: { ...BASELINE, hedging: 'quantile' },
  /** Completion as the trace's settings choose. */
  tuned: { replicaSelection: 'latency_weighted', hedging: 'quantile', admission: 'adaptive' },
  /** As tuned, but a fixed number of requests at work. */
  bounded: { replicaSelection: 'latency_weighted', hedging: 'quantile', admission: 'bounded' },
  least_in_flight_hedge: { ...BASELINE, replicaSelection: 'least_in_flight', hedging: 'quantile' },
  power_of_two_hedge: { ...BASELINE, replicaSelection: 'power_of_two', hedging: 'quantile' },
  latency_weighted_hedge: {
    ...BASELINE,
    replicaSelection: 'latency_weighted',
    hedging: 'quantile',
  },
  latency_weighted: { ...BASELINE, replicaSelection: 'latency_weighted' },
};

/** @throws RangeError naming the sets there are. */
export function policySet(name: string): SettingsOverride {
  const known = POLICY_SETS[name];
  if (known !== undefined) return known;
  const names = Object.keys(POLICY_SETS).join(', ');
  throw new RangeError(`there is no policy set "${name}"; choose one of ${names}`);
}
