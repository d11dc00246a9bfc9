/** A peer whose queue of connections to accept is full, so that opening packets are dropped until it accepts. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';

/** Connections that the system holds for a listener with a backlog of one. */
const HELD_CONNECTIONS = 2;

const WORKER = `
  const { createServer } = require('node:http');
  const { parentPort, workerData } = require('node:worker_threads');
  let connections = 0;
  const server = createServer((request, response) => response.end(String(connections)));
  server.on('connection', () => (connections += 1));
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(workerData, 0, 0);
  });
`;

/** See the module comment. Answers each request with how many connections it accepted so far. */
export class FullListener {
  private constructor(
    readonly port: number,
    private readonly worker: Worker,
    private readonly gate: Int32Array,
    private readonly fillers: readonly Socket[],
  ) {}

  static async start(): Promise<FullListener> {
    const gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(WORKER, { eval: true, workerData: gate });
    const [port] = (await once(worker, 'message')) as [number];
    const fillers: Socket[] = [];
    for (let index = 0; index < HELD_CONNECTIONS; index += 1) {
      const filler = connect(port, '127.0.0.1').on('error', () => undefined);
      await once(filler, 'connect');
      fillers.push(filler);
    }
    return new FullListener(port, worker, gate, fillers);
  }

  /** Connections that it accepted besides those that requests are sent on. */
  get heldConnections(): number {
    return this.fillers.length;
  }

  /** Accepts what waits and all that comes. */
  accept(): void {
    Atomics.store(this.gate, 0, 1);
    Atomics.notify(this.gate, 0);
  }

  async stop(): Promise<void> {
    this.accept();
    for (const filler of this.fillers) filler.destroy();
    await this.worker.terminate();
  }
}
