/*
 * Guards against fan-outs that crowd on few leaves after all controllers have started anew: a
 * controller that has just started knows only the gateways that already follow it again. Its list
 * replaced the full one, and all shards of a request went to a single leaf.
 */
import { describe, expect, it } from 'vitest';
import { GatewayHarness, type LogLine } from '../gateway/gateway-harness.js';

const SHARDS = Array.from({ length: 8 }, (_, index) => `shard-${index}`);
const ROUTE = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.6 };
const GATEWAYS = 7;
/** Longer than a gateway takes to notice that it hears nothing of a controller. Milliseconds. */
const DOWN_MS = 1_700;
/** How much later than the others the last gateways reach the controllers. Milliseconds. */
const LATE_BY_MS = 1_500;
const LATE_GATEWAYS = 3;
/** Time in which the gateways follow the controllers again. Milliseconds. */
const REGAINED_MS = 6_000;

/** Every number of leaves that a gateway's lines tell of. */
function leavesOf(lines: readonly LogLine[]): number[] {
  return lines
    .filter(({ message }) => message === 'leaf gateways changed')
    .map(({ fields }) => Number(fields['leaves']));
}

async function startFleet(seed: number): Promise<GatewayHarness> {
  const harness = await GatewayHarness.start(seed, {
    others: GATEWAYS - 1,
    aggregation: { divideAbove: 3, shardsPerGroup: 2 },
  });
  for (const shard of SHARDS) await harness.addReplica(shard);
  await harness.putRoutes([ROUTE]);
  return harness;
}

/** Cuts the last gateways off from the controllers. */
function delayLastGateways({ others, group, simulation }: GatewayHarness): void {
  for (const { machine } of others.slice(-LATE_GATEWAYS)) {
    for (const controller of group.machines) {
      simulation.cut({ from: { machine: machine.name }, to: { machine: controller.name } });
    }
  }
}

describe('gateways whose controllers all lost power and started again', () => {
  it.each([1, 2, 3, 4, 5])('keep leaves that follow no controller yet (seed %i)', async (seed) => {
    const harness = await startFleet(seed);
    const lines = [harness.lines, ...harness.others.map((other) => other.lines)];
    for (const other of lines) {
      expect(leavesOf(other).at(-1)).toBe(GATEWAYS);
      other.length = 0;
    }
    for (const machine of harness.group.machines) machine.crash({ power: true });
    await harness.simulation.runFor(DOWN_MS);
    delayLastGateways(harness);
    await harness.restartControllers();
    await harness.simulation.runFor(LATE_BY_MS);
    harness.simulation.healAll();
    await harness.simulation.runFor(REGAINED_MS);

    for (const other of lines) {
      expect(Math.min(GATEWAYS, ...leavesOf(other))).toBe(GATEWAYS);
    }
  });
});
