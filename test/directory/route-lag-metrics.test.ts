import { expect, it } from 'vitest';
import { DEFAULT_ROLLOUT_OPTIONS } from '../../lab/rollout/rollout-options.js';
import { startRollout, type StartedRollout } from '../../lab/rollout/rollout-run.js';

const CHANGING_MS = 4_000;
/** Longer than an unresponsive gateway stays connected. Milliseconds. */
const FREEZE_MS = 6_000;

/** Returns the highest value of a gauge over all controllers. */
async function maximumOf({ fleet }: StartedRollout, metric: string): Promise<number> {
  const values: number[] = [];
  for (const registry of fleet.registries) {
    const reading = await registry.getSingleMetric(metric)?.get();
    values.push(...(reading?.values ?? []).map(({ value }) => value));
  }
  return Math.max(...values);
}

it('the metrics show how long a frozen gateway has lacked the route document', async () => {
  const started = await startRollout({
    ...DEFAULT_ROLLOUT_OPTIONS,
    pausesMs: [300],
    faults: [],
  });
  const { simulation, fleet, operator } = started;
  void operator.run(simulation.now + CHANGING_MS);
  await simulation.runFor(CHANGING_MS / 2);
  expect(await maximumOf(started, 'driftway_controller_route_version')).toBeGreaterThan(3);
  expect(await maximumOf(started, 'driftway_controller_routes_lacking_seconds')).toBeLessThan(0.5);

  fleet.gateways[0]?.machine.freeze(FREEZE_MS);
  await simulation.runFor(1_000);
  expect(await maximumOf(started, 'driftway_controller_gateways_lacking_routes')).toBeGreaterThan(
    0,
  );
  const lacking = await maximumOf(started, 'driftway_controller_routes_lacking_seconds');
  expect(lacking).toBeGreaterThan(0.5);
  expect(lacking).toBeLessThan(1.1);

  await simulation.runFor(CHANGING_MS + FREEZE_MS);
  expect(await maximumOf(started, 'driftway_controller_gateways_lacking_routes')).toBe(0);
});
