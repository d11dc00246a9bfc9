/** The decisions of one service in one router, made from its settings. */
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import type { ServiceSettings } from '../settings/service-settings.js';
import { AdaptiveAdmissionPolicy } from './adaptive-admission-policy.js';
import type { AdmissionPolicy } from './admission-policy.js';
import { BoundedAdmissionPolicy } from './bounded-admission-policy.js';
import { BudgetedRetryPolicy } from './budgeted-retry-policy.js';
import type { CompletionPolicy } from './completion-policy.js';
import { ExpectedGainPolicy } from './expected-gain-policy.js';
import type { HedgePolicy } from './hedge-policy.js';
import { LatencyWeightedReplicaSelector } from './latency-weighted-replica-selector.js';
import { LeastInFlightReplicaSelector } from './least-in-flight-replica-selector.js';
import { NoHedgePolicy } from './no-hedge-policy.js';
import { OutlierEjection } from './outlier-ejection.js';
import { PowerOfTwoReplicaSelector } from './power-of-two-replica-selector.js';
import { QuantileHedgePolicy } from './quantile-hedge-policy.js';
import { RandomReplicaSelector } from './random-replica-selector.js';
import type { ReplicaSelector } from './replica-selector.js';
import type { RetryPolicy } from './retry-policy.js';
import { WaitForAllPolicy } from './wait-for-all-policy.js';

/** One instance of each decision, shared by all requests of the service in this router. */
export interface ServicePolicies {
  readonly replicaSelector: ReplicaSelector;
  readonly outlierEjection: OutlierEjection;
  readonly hedge: HedgePolicy;
  readonly completion: CompletionPolicy;
  readonly retry: RetryPolicy;
  readonly admission: AdmissionPolicy;
}

/** What policies may reach besides their settings. */
export interface PolicyDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
}

function createReplicaSelector(
  selection: ServiceSettings['replicaSelection'],
  random: RandomSource,
): ReplicaSelector {
  switch (selection) {
    case 'random':
      return new RandomReplicaSelector(random);
    case 'least_in_flight':
      return new LeastInFlightReplicaSelector(random);
    case 'power_of_two':
      return new PowerOfTwoReplicaSelector(random);
    case 'latency_weighted':
      return new LatencyWeightedReplicaSelector(random);
  }
}

function createHedgePolicy(settings: ServiceSettings): HedgePolicy {
  if (settings.hedging === 'none') return new NoHedgePolicy();
  return new QuantileHedgePolicy({
    quantile: settings.hedgeQuantile,
    budgetPercent: settings.hedgeBudgetPercent,
  });
}

function createCompletionPolicy(settings: ServiceSettings, random: RandomSource): CompletionPolicy {
  if (settings.completionPolicy === 'wait_for_all') return new WaitForAllPolicy();
  return new ExpectedGainPolicy(settings.leastWaitGain, random);
}

function createAdmissionPolicy(settings: ServiceSettings, clock: Clock): AdmissionPolicy {
  const { maximumInFlight, queueLimit } = settings;
  const options = { maximumInFlight, queueLimit };
  return settings.admission === 'bounded'
    ? new BoundedAdmissionPolicy(options, clock)
    : new AdaptiveAdmissionPolicy(options, clock);
}

/** Makes the policies that `settings` ask for. */
export function createServicePolicies(
  settings: ServiceSettings,
  dependencies: PolicyDependencies,
): ServicePolicies {
  const { clock, random } = dependencies;
  return {
    replicaSelector: createReplicaSelector(settings.replicaSelection, random),
    outlierEjection: new OutlierEjection(clock),
    hedge: createHedgePolicy(settings),
    completion: createCompletionPolicy(settings, random),
    retry: new BudgetedRetryPolicy(
      {
        budgetPercent: settings.retryBudgetPercent,
        maximumAttempts: settings.maximumAttemptsPerShard,
      },
      random,
    ),
    admission: createAdmissionPolicy(settings, clock),
  };
}
