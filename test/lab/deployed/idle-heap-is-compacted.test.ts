// Guards against daemons whose collector compacts the heap again and again while nobody asks them anything.
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, it } from 'vitest';
import type { DeployedDaemon } from '../../../lab/deployed/deployed-fleet.js';
import { DeployedSite } from './deployed-support.js';

/** Longer than the runtime waits before it takes a process for idle. */
const IDLE_MS = 20_000;
const FULL_COLLECTION =
  /^nodejs_gc_duration_seconds_count\{kind="(?:major|incremental)"\} (\d+)$/gm;

let site: DeployedSite;

afterEach(() => site.close());

/** Collections of the whole heap since the process began, as its metrics count them. */
async function countFullCollections({ readiness }: DeployedDaemon): Promise<number> {
  const response = await fetch(`http://${readiness.host}:${readiness.port}/metrics`);
  const counts = [...(await response.text()).matchAll(FULL_COLLECTION)];
  return counts.reduce((sum, [, count]) => sum + Number(count), 0);
}

it('a gateway without requests does not collect its whole heap', async () => {
  site = await DeployedSite.create({ controllers: 1, gateways: 1 });
  await site.serve();
  const [gateway] = site.fleet.gateways;
  if (gateway === undefined) throw new Error('expected a gateway');
  const before = await countFullCollections(gateway);
  await sleep(IDLE_MS);
  expect(await countFullCollections(gateway)).toBe(before);
});
