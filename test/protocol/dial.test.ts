/** Tests dialling a peer that accepts a connection and doesn't answer, such as a frozen process. */
import { expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { dial } from '../../src/protocol/dial.js';
import { HandshakeError } from '../../src/protocol/handshake-error.js';

const PORT = 7_000;
const IDENTITY = { clusterId: 'dohoku', clusterKey: 'a-long-random-secret', name: 'gateway-1' };
/** Much shorter than the timeout of a handshake. Milliseconds. */
const STOPPED_AFTER_MS = 50;

// Guards against a process that stays after its stop because it waits for the answer to a handshake.
it('ends the handshake when its signal aborts', async () => {
  const simulation = new Simulation(1);
  const frozen = simulation.createMachine('frozen', 'nayoro');
  const dialling = simulation.createMachine('dialling', 'nayoro');
  const address = { host: frozen.host, port: PORT };
  const hold = (): Promise<void> => new Promise(() => undefined);
  await simulation.settle(frozen.environment.network.listenMessages(address, hold));
  const stopped = new AbortController();
  const target = { address, role: 'aggregation', connectTimeout: 1_000 } as const;
  const failed = dial(dialling.environment, IDENTITY, { ...target, signal: stopped.signal }).then(
    () => undefined,
    (error: unknown) => error,
  );
  await simulation.runFor(STOPPED_AFTER_MS);
  stopped.abort();
  expect(await simulation.settle(failed, STOPPED_AFTER_MS)).toBeInstanceOf(HandshakeError);
});
