/** Courses of events in which a node that breaks one rule makes operators see it. */
import type { RegisterOperation } from '../../../lab/linearizability/register-operation.js';
import type { RaftFaults } from '../../../src/consensus/raft-faults.js';
import { AdministrationMachine } from './administration-machine.js';
import { RaftCluster } from './raft-cluster.js';
import { RegisterClient } from './register-client.js';
import { RegisterHistory } from './register-history.js';

const SEED = 1;
const IDS = ['a', 'b', 'c'];
const PAUSE = 10_000;
/** Makes a sync take seconds. */
const VERY_SLOW = 4_000;

/** One operator and what it was told. */
interface Scene {
  readonly cluster: RaftCluster;
  readonly client: RegisterClient;
  readonly leader: string;
  readonly others: readonly [string, string];
}

/** Asks one controller. */
async function ask({ cluster, client }: Scene, id: string, kind: 'read' | 'change'): Promise<void> {
  client.target = id;
  await cluster.simulation.settle(client[kind]());
}

/** The leader's process stands still while another is elected, and then answers first. */
async function pauseOfLeader(scene: Scene): Promise<void> {
  const { cluster, leader, others } = scene;
  await ask(scene, leader, 'change');
  cluster.member(leader).machine.freeze(PAUSE);
  const next = await cluster.leader(others);
  await ask(scene, next, 'read');
  await ask(scene, next, 'change');
  await ask(scene, leader, 'read');
}

/** All lose their power while their disks are slow. */
async function powerCut(scene: Scene): Promise<void> {
  const { cluster, leader } = scene;
  const volumes = IDS.map((id) => cluster.member(id).machine.volume);
  for (const volume of volumes) volume.faults.slowness = VERY_SLOW;
  await ask(scene, leader, 'change');
  for (const id of IDS) cluster.losePower(id);
  for (const volume of volumes) volume.faults.slowness = 1;
  for (const id of IDS) await cluster.start(id);
  await cluster.leader();
  await ask(scene, 'a', 'read');
}

/** One of the two that hold a change dies, and the other comes back without its disk. */
async function lossOfDisk(scene: Scene): Promise<void> {
  const { cluster, leader, others } = scene;
  const [witness, behind] = others;
  cluster.links.isolate(behind);
  await ask(scene, leader, 'change');
  cluster.losePower(leader);
  cluster.crash(witness);
  cluster.links.heal();
  await cluster.start(witness, { keepDisk: false });
  await cluster.runFor(PAUSE);
  await cluster.start(leader);
  await cluster.runFor(PAUSE);
  await ask(scene, behind, 'read');
}

export const SCENARIOS = { pauseOfLeader, powerCut, lossOfDisk };

/** Plays one of them and gives the history. */
export async function playScenario(
  name: keyof typeof SCENARIOS,
  faults: RaftFaults,
): Promise<readonly RegisterOperation[]> {
  const cluster = await RaftCluster.started(SEED, IDS, {
    faults,
    createState: (onApply) => new AdministrationMachine(onApply),
  });
  const history = new RegisterHistory();
  const client = new RegisterClient(cluster, 1, history);
  const leader = await cluster.leader();
  const [first = '', second = ''] = IDS.filter((id) => id !== leader);
  await SCENARIOS[name]({ cluster, client, leader, others: [first, second] });
  return history.operations;
}
