/** Operators race over one key of the settings while machines fail; their history is checked. */
import {
  checkLinearizability,
  type LinearizabilityVerdict,
} from '../../../lab/linearizability/check-linearizability.js';
import type { RegisterOperation } from '../../../lab/linearizability/register-operation.js';
import { AdministrationMachine } from './administration-machine.js';
import type { ClusterOptions } from './cluster-options.js';
import { RaftCluster } from './raft-cluster.js';
import { RandomFaults } from './random-faults.js';
import { RegisterClient } from './register-client.js';
import { RegisterHistory } from './register-history.js';

const OPERATORS = 4;
const ROUNDS = 40;
const LONGEST_STEP = 900;
const QUIET_EVERY = 10;
const QUIET = 2_500;
/** Longer than any answer takes. Milliseconds. */
const LAST_ANSWERS = 45_000;

export interface AdministrationRunResult {
  readonly verdict: LinearizabilityVerdict;
  readonly history: readonly RegisterOperation[];
  readonly violations: readonly string[];
}

/** Runs one seed. */
export async function runAdministration(
  seed: number,
  ids: readonly string[],
  options: ClusterOptions,
): Promise<AdministrationRunResult> {
  const cluster = await RaftCluster.started(seed, ids, {
    ...options,
    createState: (onApply) => new AdministrationMachine(onApply),
  });
  const current = [...ids];
  const faults = new RandomFaults(cluster, current);
  const history = new RegisterHistory();
  const clients = Array.from(
    { length: OPERATORS },
    (_, place) => new RegisterClient(cluster, place + 1, history),
  );
  const running = clients.map((client) => client.run());
  for (let round = 1; round <= ROUNDS; round += 1) {
    if (round % QUIET_EVERY === 0) {
      await faults.healAll();
      await cluster.runFor(QUIET);
    }
    await faults.act();
    await cluster.runFor(cluster.random.nextInteger(1, LONGEST_STEP));
  }
  await faults.healAll();
  for (const client of clients) client.stopping = true;
  await cluster.simulation.settle(Promise.all(running), LAST_ANSWERS);
  const verdict = checkLinearizability(history.operations, { revision: 0, value: undefined });
  return { verdict, history: history.operations, violations: cluster.violations };
}
