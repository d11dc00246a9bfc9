/** A TCP proxy on loopback between two processes, which can disturb what passes. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { formatAddress, type Address } from '../../src/seams/address.js';
import { beginEndless, endlessPiece, type EndlessAnswer } from '../exchange/endless-answer.js';

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

const HEAD_END = '\r\n\r\n';

/** The two ends of one connection. */
interface ProxiedPair {
  readonly client: Socket;
  readonly server: Socket;
  /** Whether the client gets an answer without end. */
  isEndless: boolean;
}

/** See the module comment. */
export class LoopbackProxy {
  private mode = ProxyMode.Pass;
  private endless: EndlessAnswer | undefined;
  private endlessAnswers = 0;
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

  /** Answers that were begun and never ended. */
  get endlessAnswerCount(): number {
    return this.endlessAnswers;
  }

  /** Puts an answer without end in the place of each answer of the server; undefined passes answers again. */
  useEndless(kind: EndlessAnswer | undefined): void {
    this.endless = kind;
    if (kind !== undefined) return;
    for (const { client, isEndless } of this.pairs) if (isEndless) client.destroy();
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
    const pair: ProxiedPair = { client, server, isEndless: false };
    this.pairs.add(pair);
    this.join(pair, client, server);
    this.join(pair, server, client);
    server.prependListener('data', (bytes) => this.cutAnswer(client, server, bytes));
    server.prependListener('data', (bytes) => this.answerWithoutEnd(pair, bytes));
    this.apply(pair);
  }

  /** Sends to the client until it closes. */
  private answerWithoutEnd(pair: ProxiedPair, bytes: Buffer): void {
    const { endless: kind } = this;
    if (kind === undefined || pair.isEndless) return;
    pair.isEndless = true;
    this.endlessAnswers += 1;
    const { client } = pair;
    const piece = endlessPiece(kind);
    const send = (): void => {
      while (client.writable && client.write(piece));
    };
    const text = bytes.toString('latin1');
    client.on('drain', send);
    client.write(beginEndless(kind, text.slice(0, text.indexOf(HEAD_END) + HEAD_END.length)));
    send();
  }

  /** Ends both sides of the connection in the middle of the answer's head, wherever the next cut falls. */
  private cutAnswer(client: Socket, server: Socket, bytes: Buffer): void {
    if (this.mode !== ProxyMode.CutAnswer) return;
    this.cuts += 1;
    const headBytes = Math.max(1, bytes.indexOf(HEAD_END));
    const sent = bytes.subarray(0, (this.cuts * CUT_STEP_BYTES) % headBytes);
    // The end of the server's side also destroys the client's, so it comes once the bytes have left.
    client.end(sent, () => server.destroy());
  }

  /** Passes on what `from` says, and its end. */
  private join(pair: ProxiedPair, from: Socket, to: Socket): void {
    // An answer without end outlives the server's side of the connection.
    const isCutLoose = (): boolean => pair.isEndless && from === pair.server;
    from.on('data', (bytes) => {
      if (pair.isEndless || to.writableEnded) return;
      if (!to.write(bytes)) from.pause();
    });
    to.on('drain', () => this.apply(pair));
    from.on('end', () => {
      if (!isCutLoose()) to.end();
    });
    from.on('error', () => {
      if (!isCutLoose()) to.destroy();
    });
    from.on('close', () => {
      if (isCutLoose()) return;
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
