/** A TCP proxy on loopback between two processes, which can disturb what passes. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { formatAddress, type Address } from '../../src/seams/address.js';

/** What becomes of connections through the proxy. */
export enum ProxyMode {
  Pass = 'pass',
  /** Connections are reset, new ones too. */
  Reset = 'reset',
  /** Nothing passes either way; connections stay open, as over a link that is cut in silence. */
  Silent = 'silent',
  /** What the server says is held up until the mode changes. */
  OneWay = 'oneWay',
  /** Each answer of the server is cut after some bytes of its head, and its connection closed. */
  CutAnswer = 'cutAnswer',
}

/** By how much the place of a cut moves from one answer to the next; shares no factor with usual lengths. */
const CUT_STEP_BYTES = 37;

/** The two ends of one connection. */
interface ProxiedPair {
  readonly client: Socket;
  readonly server: Socket;
}

/** See the module comment. */
export class LoopbackProxy {
  private mode = ProxyMode.Pass;
  private readonly pairs = new Set<ProxiedPair>();
  private cuts = 0;

  private constructor(
    private readonly listener: Server,
    private readonly target: Address,
    readonly address: Address,
  ) {}

  /** Leads from `address` to `target`. */
  static async start(target: Address, address: Address): Promise<LoopbackProxy> {
    const listener = createServer({ pauseOnConnect: true });
    const proxy = new LoopbackProxy(listener, target, address);
    listener.on('connection', (client) => proxy.accept(client));
    await new Promise<void>((resolve, reject) => {
      listener.once('error', reject);
      listener.listen(address.port, address.host, resolve);
    });
    return proxy;
  }

  /** Named by where it leads. */
  get name(): string {
    return formatAddress(this.target);
  }

  use(mode: ProxyMode): void {
    this.mode = mode;
    for (const pair of this.pairs) this.apply(pair);
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.listener.close(() => resolve()));
    for (const { client, server } of this.pairs) {
      client.destroy();
      server.destroy();
    }
    await closed;
  }

  private accept(client: Socket): void {
    if (this.mode === ProxyMode.Reset) {
      client.resetAndDestroy();
      return;
    }
    const server = connect(this.target.port, this.target.host);
    const pair: ProxiedPair = { client, server };
    this.pairs.add(pair);
    this.join(pair, client, server);
    this.join(pair, server, client);
    server.prependListener('data', (bytes) => this.cutAnswer(client, server, bytes));
    this.apply(pair);
  }

  /** Ends both sides of the connection in the middle of the answer's head, wherever the next cut falls. */
  private cutAnswer(client: Socket, server: Socket, bytes: Buffer): void {
    if (this.mode !== ProxyMode.CutAnswer) return;
    this.cuts += 1;
    const headBytes = Math.max(1, bytes.indexOf('\r\n\r\n'));
    const sent = bytes.subarray(0, (this.cuts * CUT_STEP_BYTES) % headBytes);
    // The end of the server's side also destroys the client's, so it comes once the bytes have left.
    client.end(sent, () => server.destroy());
  }

  /** Passes on what `from` says, and its end. */
  private join(pair: ProxiedPair, from: Socket, to: Socket): void {
    from.on('data', (bytes) => {
      if (to.writableEnded) return;
      if (!to.write(bytes)) from.pause();
    });
    to.on('drain', () => this.apply(pair));
    from.on('end', () => to.end());
    from.on('error', () => to.destroy());
    from.on('close', () => {
      to.destroy();
      this.pairs.delete(pair);
    });
  }

  private apply({ client, server }: ProxiedPair): void {
    if (this.mode === ProxyMode.Reset) {
      client.resetAndDestroy();
      server.resetAndDestroy();
      return;
    }
    const passesRequests = this.mode !== ProxyMode.Silent;
    const passesAnswers = this.mode === ProxyMode.Pass || this.mode === ProxyMode.CutAnswer;
    if (passesRequests) client.resume();
    else client.pause();
    if (passesAnswers) server.resume();
    else server.pause();
  }
}
