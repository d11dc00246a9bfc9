/** Tests that a member that stops gives up its dials to others. */
import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { RaftNode } from '../../src/consensus/raft-node.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { HistoryMachine } from './support/history-machine.js';

const PORT = 7_400;
/** Longer than an election timeout, after which a member asks the others for their votes. Milliseconds. */
const ELECTION_MS = 10_000;

// Guards against a controller process that stays after its stop because it waits for a frozen peer.
it('a stopped member aborts the dials that are in progress', async () => {
  const simulation = new Simulation(1);
  const [own, frozen] = ['one', 'two'].map((name) => simulation.createMachine(name, 'nayoro'));
  if (own === undefined || frozen === undefined) throw new RangeError('no machines');
  const initialMembers = [own, frozen].map(({ name, host }) => ({
    memberId: name,
    address: { host, port: PORT },
  }));
  const dials: (AbortSignal | undefined)[] = [];
  const started = RaftNode.start(
    own.environment,
    {
      clusterId: 'test',
      memberId: own.name,
      address: { host: own.host, port: PORT },
      initialMembers,
      join: false,
      stateMachine: new HistoryMachine(() => undefined),
      dial: (_member, stopped: AbortSignal | undefined) => {
        dials.push(stopped);
        return new Promise(() => undefined);
      },
    },
    { logger: SILENT_LOGGER, registry: new Registry() },
  );
  const node = await simulation.settle(started);
  await simulation.runFor(ELECTION_MS);
  expect(dials.length).toBeGreaterThan(0);
  expect(dials.every((stopped) => stopped?.aborted === false)).toBe(true);
  await simulation.settle(node.close());
  expect(dials.every((stopped) => stopped?.aborted === true)).toBe(true);
});
