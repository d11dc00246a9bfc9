/** An operator that changes one key through the administration API, and notes what it is told. */
import { Registry } from 'prom-client';
import type {
  RegisterAnswer,
  RegisterRequest,
  RegisterState,
} from '../../../lab/linearizability/register-operation.js';
import { createAdministrationHandler } from '../../../src/administration/administration-handler.js';
import { SILENT_LOGGER } from '../../../src/observability/logger.js';
import type { HttpHandler, HttpResponse } from '../../../src/seams/http.js';
import { hashToken } from '../../../src/settings/token-text.js';
import { AdministrationMachine } from './administration-machine.js';
import type { RaftCluster } from './raft-cluster.js';
import type { RegisterHistory } from './register-history.js';

const TOKEN = 'the-bootstrap-token';
/** After which a controller that does not answer has died. Milliseconds. */
const ANSWER_LIMIT = 12_000;
const LONGEST_PAUSE = 400;
/** Attempts at one change before the operator gives up. */
const ATTEMPTS = 3;

/** What one attempt brought. */
interface Reply {
  readonly status: number;
  readonly body: {
    readonly revision?: number;
    readonly overrides?: { readonly defaults?: { readonly queueLimit?: number } };
    readonly error?: { readonly code: string; readonly changed: string };
  };
}

export class RegisterClient {
  private known: RegisterState = { revision: 0, value: undefined };
  private changes = 0;
  /** Set to make {@link RegisterClient.run} end. */
  stopping = false;
  /** The controller that is asked; any that runs when not set. */
  target: string | undefined;

  constructor(
    private readonly cluster: RaftCluster,
    private readonly number: number,
    private readonly history: RegisterHistory,
  ) {}

  async run(): Promise<void> {
    const { random } = this.cluster;
    while (!this.stopping) {
      await this.cluster.pause(random.nextInteger(1, LONGEST_PAUSE));
      if (random.nextInteger(0, 2) === 0) await this.read();
      else await this.change();
    }
  }

  /** Reads the key. */
  read(): Promise<void> {
    return this.perform({ kind: 'read' });
  }

  /** Changes the key against the newest revision this operator knows. */
  change(): Promise<void> {
    this.changes += 1;
    const value = this.number * 1_000 + this.changes;
    return this.perform({ kind: 'change', baseRevision: this.known.revision, value });
  }

  private async perform(request: RegisterRequest): Promise<void> {
    const { history } = this;
    const startedAt = history.moment();
    const answer = request.kind === 'read' ? await this.sendRead() : await this.sendChange(request);
    const unknown = answer.kind === 'unknown' && request.kind === 'change';
    const endedAt = unknown ? Infinity : history.moment();
    const client = `operator-${this.number}`;
    history.operations.push({ client, request, answer, startedAt, endedAt });
  }

  private async sendRead(): Promise<RegisterAnswer> {
    const reply = await this.send('GET', '/v1/configuration');
    if (reply?.status !== 200) return { kind: 'unknown' };
    const { revision = 0, overrides } = reply.body;
    this.known = { revision, value: overrides?.defaults?.queueLimit };
    return { kind: 'read', state: this.known };
  }

  /** Resends the same change when the answer was lost, as `OperatorClient` does. */
  private async sendChange(request: RegisterRequest & { kind: 'change' }): Promise<RegisterAnswer> {
    const { baseRevision, value } = request;
    const body = {
      changeId: `change-${value}`,
      baseRevision,
      author: 'operator',
      reason: 'test',
      operations: [{ type: 'set', scope: 'defaults', key: 'queueLimit', value }],
    };
    for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
      const reply = await this.send('POST', '/v1/changes', body);
      const answer = this.answerOf(reply, attempt);
      if (answer.kind === 'accepted') this.known = { revision: answer.revision, value };
      if (answer.kind !== 'unknown') return answer;
    }
    return { kind: 'unknown' };
  }

  private answerOf(reply: Reply | undefined, attempt: number): RegisterAnswer {
    if (reply?.status === 200) return { kind: 'accepted', revision: reply.body.revision ?? 0 };
    const { error } = reply?.body ?? {};
    if (error?.code === 'conflict') return { kind: 'conflict' };
    // After a lost answer, a refusal of the resend says nothing of the first attempt.
    return { kind: error?.changed === 'no' && attempt === 1 ? 'not_run' : 'unknown' };
  }

  /** Undefined when no controller could be asked, or it died before it answered. */
  private async send(method: string, path: string, body?: object): Promise<Reply | undefined> {
    const { cluster } = this;
    const running = cluster.running();
    const id =
      this.target ?? running[cluster.random.nextInteger(0, Math.max(0, running.length - 1))];
    if (id === undefined) return undefined;
    const response = await Promise.race([
      this.handlerAt(id)({
        method,
        path,
        target: path,
        query: new URLSearchParams(),
        headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
        body: Buffer.from(body === undefined ? '' : JSON.stringify(body)),
        signal: new AbortController().signal,
        remoteAddress: '127.0.0.1',
      }),
      cluster.pause(ANSWER_LIMIT),
    ]);
    return response === undefined ? undefined : readReply(response);
  }

  private handlerAt(id: string): HttpHandler {
    const { state, machine } = this.cluster.member(id);
    if (!(state instanceof AdministrationMachine)) throw new Error('no administration here');
    return createAdministrationHandler({
      log: this.cluster.node(id),
      machine: state.configuration,
      clock: machine.environment.clock,
      logger: SILENT_LOGGER,
      registry: new Registry(),
      bootstrapTokenHash: hashToken(TOKEN),
    });
  }
}

function readReply({ status, body }: HttpResponse): Reply {
  const text = typeof body === 'string' ? body : Buffer.from(body).toString('utf8');
  return { status, body: JSON.parse(text) as Reply['body'] };
}
