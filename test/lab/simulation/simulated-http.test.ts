import { describe, expect, it } from 'vitest';
import { Simulation } from '../../../lab/simulation/simulation.js';
import type { SimulatedMachine } from '../../../lab/simulation/simulated-machine.js';
import type {
  HttpClient,
  HttpClientOptions,
  HttpHandler,
  HttpListener,
  HttpRequest,
} from '../../../src/seams/http.js';
import { bodyText, CLIENT_OPTIONS, LISTEN_OPTIONS } from './support.js';

interface Pair {
  readonly simulation: Simulation;
  readonly server: SimulatedMachine;
  readonly clientMachine: SimulatedMachine;
  readonly client: HttpClient;
  readonly listener: HttpListener;
}

async function startPair(
  handler: HttpHandler,
  options: Partial<HttpClientOptions> = {},
  maximumConnections = LISTEN_OPTIONS.maximumConnections,
): Promise<Pair> {
  const simulation = new Simulation(1);
  const server = simulation.createMachine('server', 'north');
  const clientMachine = simulation.createMachine('client', 'south');
  const listener = await server.environment.network.listenHttp(
    { host: server.host, port: 0 },
    { ...LISTEN_OPTIONS, maximumConnections },
    handler,
  );
  const client = clientMachine.environment.network.httpClient(listener.address, {
    ...CLIENT_OPTIONS,
    ...options,
  });
  return { simulation, server, clientMachine, client, listener };
}

const GET = { method: 'GET', path: '/', headers: {} } as const;
const answer: HttpHandler = async () => ({ status: 200, body: 'ok' });

describe('simulated HTTP', () => {
  it('carries whole requests and responses', async () => {
    let seen: HttpRequest | undefined;
    const { simulation, client, clientMachine } = await startPair(async (request) => {
      seen = request;
      return { status: 201, headers: { 'X-Mark': 'a' }, body: 'created' };
    });
    const response = await simulation.settle(
      client.request({
        method: 'POST',
        path: '/things?name=b',
        headers: { 'X-Team': 't' },
        body: 'hello',
      }),
    );
    expect(seen).toMatchObject({ method: 'POST', path: '/things', headers: { 'x-team': 't' } });
    expect(seen?.query.get('name')).toBe('b');
    expect(seen?.remoteAddress).toBe(clientMachine.host);
    expect(bodyText(seen?.body ?? new Uint8Array())).toBe('hello');
    expect(response.status).toBe(201);
    expect(response.headers['x-mark']).toBe('a');
    expect(bodyText(response.body)).toBe('created');
  });

  it('pays for a new connection once, then keeps it alive', async () => {
    const { simulation, client } = await startPair(answer);
    await simulation.settle(client.request(GET));
    const first = simulation.now;
    await simulation.settle(client.request(GET));
    const second = simulation.now - first;
    expect(first).toBeGreaterThan(5);
    expect(second).toBeLessThan(2.5);
  });

  it('enforces the bounds on bodies, headers and responses', async () => {
    const { simulation, client } = await startPair(async () => ({
      status: 200,
      body: 'x'.repeat(3_000),
    }));
    const tooLong = client.request({ ...GET, method: 'POST', body: 'x'.repeat(2_000) });
    expect((await simulation.settle(tooLong)).status).toBe(413);
    const headers = { 'x-long': 'x'.repeat(600) };
    expect((await simulation.settle(client.request({ ...GET, headers }))).status).toBe(431);
    await expect(simulation.settle(client.request(GET))).rejects.toMatchObject({
      kind: 'response_too_large',
      requestSent: true,
    });
  });

  it('refuses and times out connections without having sent', async () => {
    const { simulation, server, clientMachine } = await startPair(answer);
    const { network } = clientMachine.environment;
    const nobody = network.httpClient({ host: server.host, port: 1 }, CLIENT_OPTIONS);
    const refused = { kind: 'connect_failed', requestSent: false };
    await expect(simulation.settle(nobody.request(GET))).rejects.toMatchObject(refused);
    expect(simulation.now).toBeLessThan(5);
    simulation.cut({ to: { machine: 'server' } });
    await expect(simulation.settle(nobody.request(GET))).rejects.toMatchObject(refused);
    expect(simulation.now).toBeGreaterThan(CLIENT_OPTIONS.connectTimeout);
  });

  it('never has more requests in flight than connections', async () => {
    let inFlight = 0;
    let most = 0;
    const { simulation, client, server } = await startPair(async () => {
      inFlight += 1;
      most = Math.max(most, inFlight);
      await server.environment.clock.sleep(10);
      inFlight -= 1;
      return { status: 200, body: '' };
    });
    await simulation.settle(Promise.all([1, 2, 3, 4, 5].map(() => client.request(GET))));
    expect(most).toBe(CLIENT_OPTIONS.connections);
  });

  it('tells the handler when the caller aborts, and frees the connection', async () => {
    let handlerAborted = false;
    const { simulation, client, server } = await startPair(
      async ({ signal }) => {
        await server.environment.clock.sleep(1_000, signal).catch(() => {
          handlerAborted = true;
        });
        return { status: 200, body: '' };
      },
      { connections: 1 },
    );
    const controller = new AbortController();
    const first = client.request({ ...GET, signal: controller.signal });
    const second = client.request({ ...GET });
    simulation.at(50, () => controller.abort());
    await expect(simulation.settle(first)).rejects.toMatchObject({
      kind: 'aborted',
      requestSent: true,
    });
    await simulation.runFor(5);
    expect(handlerAborted).toBe(true);
    expect((await simulation.settle(second)).status).toBe(200);
  });

  it('says that a request still waiting for a connection was not sent', async () => {
    const { simulation, client, server } = await startPair(
      async () => {
        await server.environment.clock.sleep(100);
        return { status: 200, body: '' };
      },
      { connections: 1 },
    );
    void client.request(GET);
    const controller = new AbortController();
    const waiting = client.request({ ...GET, signal: controller.signal });
    simulation.at(20, () => controller.abort());
    await expect(simulation.settle(waiting)).rejects.toMatchObject({
      kind: 'aborted',
      requestSent: false,
    });
  });

  it('loses the connection when the peer crashes', async () => {
    const { simulation, client, server } = await startPair(() => new Promise(() => undefined));
    simulation.at(50, () => server.crash());
    await expect(simulation.settle(client.request(GET))).rejects.toMatchObject({
      kind: 'connection_lost',
      requestSent: true,
    });
    expect(simulation.now).toBeLessThan(52);
  });

  it('stays silent while cut, and delivers at a later retransmission', async () => {
    let served = 0;
    const { simulation, client } = await startPair(async () => {
      served += 1;
      return { status: 200, body: '' };
    });
    await simulation.settle(client.request(GET));
    const cut = simulation.cut({ from: { zone: 'south' }, to: { zone: 'north' } });
    let settled = false;
    const request = client.request(GET).finally(() => {
      settled = true;
    });
    await simulation.runFor(2_000);
    expect({ settled, served }).toEqual({ settled: false, served: 1 });
    simulation.heal(cut);
    await simulation.settle(request, 5_000);
    expect(served).toBe(2);
  });

  it('cuts one direction only: the request runs, the response does not arrive', async () => {
    let served = 0;
    const { simulation, client } = await startPair(async () => {
      served += 1;
      return { status: 200, body: '' };
    });
    await simulation.settle(client.request(GET));
    simulation.cut({ from: { machine: 'server' }, to: { machine: 'client' } });
    const outcome = simulation.settle(client.request(GET), 3_000);
    await expect(outcome).rejects.toThrow('not settled');
    expect(served).toBe(2);
  });

  it('hears nothing from a machine without power until it is back', async () => {
    const { simulation, client, server } = await startPair(() => new Promise(() => undefined));
    await simulation.runFor(1);
    const request = client.request(GET);
    let failure: unknown;
    request.catch((error: unknown) => {
      failure = error;
    });
    await simulation.runFor(50);
    server.crash({ power: true });
    await simulation.runFor(10_000);
    expect(failure).toBeUndefined();
  });

  it('finishes what is in flight when it closes, and refuses what comes after', async () => {
    const { simulation, client, server, listener, clientMachine } = await startPair(async () => {
      await server.environment.clock.sleep(50);
      return { status: 200, body: 'done' };
    });
    const inFlight = client.request(GET);
    await simulation.runFor(20);
    const closed = listener.close();
    const late = clientMachine.environment.network.httpClient(listener.address, CLIENT_OPTIONS);
    await expect(simulation.settle(late.request(GET))).rejects.toMatchObject({
      kind: 'connect_failed',
    });
    const response = await simulation.settle(inFlight);
    expect(response.headers['connection']).toBe('close');
    await simulation.settle(closed);
  });

  it('turns away connections above the cap', async () => {
    const { simulation, client, server } = await startPair(
      async () => {
        await server.environment.clock.sleep(50);
        return { status: 200, body: 'done' };
      },
      {},
      1,
    );
    const outcomes = await simulation.settle(
      Promise.allSettled([client.request(GET), client.request(GET)]),
    );
    expect(outcomes.map(({ status }) => status).sort()).toEqual(['fulfilled', 'rejected']);
  });

  it('breaks a reply where its handler says so, and refuses one whose header is not accepted', async () => {
    const { simulation, client } = await startPair(async ({ path }) => {
      if (path === '/none') return { status: 200, body: 'whole', closeAfterBytes: 0 };
      return { status: 200, body: 'whole', ...(path === '/part' ? { closeAfterBytes: 2 } : {}) };
    });
    const failure = async (path: string, accept: boolean): Promise<unknown> =>
      simulation
        .settle(client.request({ ...GET, path, acceptResponse: () => accept }))
        .catch((error: { kind: unknown }) => error.kind);
    expect(await failure('/none', true)).toBe('connection_lost');
    expect(await failure('/part', true)).toBe('response_truncated');
    expect(await failure('/', false)).toBe('response_rejected');
    expect(await failure('/', true)).toMatchObject({ status: 200 });
  });

  it('opens a fresh connection when asked', async () => {
    const seen: unknown[] = [];
    const { simulation, client } = await startPair(async ({ newConnection }) => {
      seen.push(newConnection);
      return { status: 200, body: '' };
    });
    for (const freshConnection of [false, false, true, true]) {
      await simulation.settle(client.request({ ...GET, freshConnection }));
    }
    expect(seen).toEqual([true, false, true, true]);
  });
});
