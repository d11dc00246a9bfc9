import { describe, expect, it } from 'vitest';
import { Simulation } from '../../../lab/simulation/simulation.js';
import type { SimulatedMachine } from '../../../lab/simulation/simulated-machine.js';
import type { MessageConnection } from '../../../src/seams/message-connection.js';
import { bodyText } from './support.js';

interface Pair {
  readonly simulation: Simulation;
  readonly server: SimulatedMachine;
  readonly connection: MessageConnection;
}

async function connectPair(
  onConnection: (connection: MessageConnection) => Promise<void>,
): Promise<Pair> {
  const simulation = new Simulation(3);
  const server = simulation.createMachine('server', 'north');
  const client = simulation.createMachine('client', 'south');
  const { address } = await server.environment.network.listenMessages(
    { host: server.host, port: 0 },
    onConnection,
  );
  const connection = await simulation.settle(
    client.environment.network.connectMessages(address, 1_000),
  );
  return { simulation, server, connection };
}

async function echo(connection: MessageConnection): Promise<void> {
  for (;;) {
    const frame = await connection.receive();
    if (frame === undefined) return;
    await connection.send(frame);
  }
}

const forever = (): Promise<void> => new Promise(() => undefined);

describe('simulated message connections', () => {
  it('deliver frames whole and in order', async () => {
    const { simulation, connection } = await connectPair(echo);
    for (const text of ['a', 'b', 'c']) await connection.send(Buffer.from(text));
    const received: string[] = [];
    for (let count = 0; count < 3; count += 1) {
      const frame = await simulation.settle(connection.receive());
      received.push(bodyText(frame ?? new Uint8Array()));
    }
    expect(received).toEqual(['a', 'b', 'c']);
  });

  it('end for both sides when one closes, or when the handler returns', async () => {
    const { simulation, connection } = await connectPair(async (accepted) => {
      await accepted.receive();
    });
    await connection.send(Buffer.from('a'));
    expect(await simulation.settle(connection.receive())).toBeUndefined();
    await simulation.settle(connection.closed);
    await expect(connection.send(Buffer.from('b'))).rejects.toThrow('connection closed');
  });

  it('break when the peer crashes', async () => {
    const { simulation, server, connection } = await connectPair(echo);
    const receiving = connection.receive();
    server.crash();
    await expect(simulation.settle(receiving)).rejects.toThrow('connection reset');
  });

  it('hold the sender back while the peer does not read', async () => {
    let reader: MessageConnection | undefined;
    const { simulation, connection } = await connectPair((accepted) => {
      reader = accepted;
      return forever();
    });
    const frame = Buffer.alloc(16_384);
    let sent = 0;
    void (async () => {
      for (; sent < 500; sent += 1) await connection.send(frame);
    })();
    await simulation.runFor(1_000);
    expect(sent).toBeLessThan(100);
    expect(connection.queuedBytes).toBeGreaterThan(0);
    void (async () => {
      while ((await reader?.receive()) !== undefined);
    })();
    await simulation.runFor(1_000);
    expect(sent).toBe(500);
    expect(connection.queuedBytes).toBe(0);
  });

  it('keep order and lose nothing over a cut, later', async () => {
    const received: string[] = [];
    const { simulation, connection } = await connectPair(async (accepted) => {
      for (;;) received.push(bodyText((await accepted.receive()) ?? new Uint8Array()));
    });
    await connection.send(Buffer.from('before'));
    await simulation.runFor(10);
    simulation.cut({ from: { machine: 'client' } });
    await connection.send(Buffer.from('during'));
    await simulation.runFor(60_000);
    expect(received).toEqual(['before']);
    simulation.healAll();
    await connection.send(Buffer.from('after'));
    await simulation.runFor(60_000);
    expect(received).toEqual(['before', 'during', 'after']);
  });

  it('report a connection that cannot be opened', async () => {
    const { simulation, server } = await connectPair(forever);
    const { network } = simulation.machine('client').environment;
    const attempt = network.connectMessages({ host: server.host, port: 9 }, 100);
    await expect(simulation.settle(attempt)).rejects.toThrow('connection refused');
  });
});
