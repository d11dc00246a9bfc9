/** One seed of the rollout simulation: documents without a pause, faults, and what came of it. */
import type { Registry } from 'prom-client';
import { Simulation } from '../simulation/simulation.js';
import { RolloutFaults } from './rollout-faults.js';
import { RolloutFleet } from './rollout-fleet.js';
import { IN_FORCE_BOUND_MS, RolloutLedger, type LateRollout } from './rollout-ledger.js';
import { RolloutOperator } from './rollout-operator.js';
import type { RolloutOptions } from './rollout-options.js';

/** In which a new group elects a leader and gateways find it. Milliseconds. */
const START_MS = 8_000;
/** After the last document: the bound, and a little. Milliseconds. */
const END_MS = IN_FORCE_BOUND_MS + 2_000;
const BYTES_METRIC = 'driftway_controller_route_document_bytes_sent_total';
const DOCUMENTS_METRIC = 'driftway_controller_route_documents_sent_total';
/** Share of the delays that lie below the high one that is reported. */
const HIGH_PART = 0.99;

/** What one run showed. */
export interface RolloutResult {
  readonly seed: number;
  readonly accepted: number;
  /** Pairs of a document and a gateway that the delays are of. */
  readonly rollouts: number;
  readonly meanMs: number;
  readonly highMs: number;
  readonly worstMs: number;
  /** Over {@link IN_FORCE_BOUND_MS}. */
  readonly late: readonly LateRollout[];
  readonly reverted: readonly string[];
  /** Sent to gateways of other zones. */
  readonly documentsBetweenZones: number;
  readonly bytesBetweenZones: number;
  readonly digest: string;
}

/** Sum over all controllers of what a counter shows for other zones. */
async function sumBetweenZones(registries: readonly Registry[], name: string): Promise<number> {
  let sum = 0;
  for (const registry of registries) {
    const metric = await registry.getSingleMetric(name)?.get();
    const values = metric?.values ?? [];
    for (const { value, labels } of values) {
      if (labels['place'] === 'other_zone') sum += value;
    }
  }
  return sum;
}

/** A fleet that has started, before its first document. */
export interface StartedRollout {
  readonly simulation: Simulation;
  readonly fleet: RolloutFleet;
  readonly ledger: RolloutLedger;
  readonly operator: RolloutOperator;
}

export async function startRollout(options: RolloutOptions): Promise<StartedRollout> {
  const simulation = new Simulation(options.seed);
  const machine = simulation.createMachine('operator', 'operators');
  const ledger = new RolloutLedger();
  const fleet = new RolloutFleet(simulation, ledger, options);
  await simulation.settle(fleet.start());
  await simulation.runFor(START_MS);
  const operator = new RolloutOperator({ simulation, machine, fleet, ledger, options });
  return { simulation, fleet, ledger, operator };
}

/** Runs one seed. */
export async function runRollout(options: RolloutOptions): Promise<RolloutResult> {
  const { simulation, fleet, ledger, operator } = await startRollout(options);
  const end = simulation.now + options.durationMs;
  new RolloutFaults(simulation, fleet, options).schedule(end);
  void operator.run(end);
  await simulation.runUntil(end + END_MS);
  return summarise(options.seed, simulation, ledger, fleet);
}

async function summarise(
  seed: number,
  simulation: Simulation,
  ledger: RolloutLedger,
  { registries }: RolloutFleet,
): Promise<RolloutResult> {
  const rollouts = ledger.delays(simulation.now);
  const delays = rollouts.map(({ delayMs }) => delayMs).sort((left, right) => left - right);
  const total = delays.reduce((sum, delay) => sum + delay, 0);
  return {
    seed,
    accepted: ledger.accepted.length,
    rollouts: delays.length,
    meanMs: delays.length === 0 ? 0 : total / delays.length,
    highMs: delays[Math.floor(delays.length * HIGH_PART)] ?? 0,
    worstMs: delays.at(-1) ?? 0,
    late: rollouts.filter(({ delayMs }) => delayMs > IN_FORCE_BOUND_MS),
    reverted: ledger.reverted,
    documentsBetweenZones: await sumBetweenZones(registries, DOCUMENTS_METRIC),
    bytesBetweenZones: await sumBetweenZones(registries, BYTES_METRIC),
    digest: simulation.eventDigest,
  };
}
