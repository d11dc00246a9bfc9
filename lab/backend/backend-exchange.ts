/** One request at a stand-in back end, from its arrival to its reply. */
import type { BackendDisposition } from '../../src/model/backend-protocol.js';
import type { Environment } from '../../src/seams/environment.js';
import type { HttpResponse } from '../../src/seams/http.js';
import type { BackendLedgerRecord } from '../ledger/backend-ledger.js';
import { deriveResult } from '../ledger/derived-result.js';
import type { BackendOptions } from './backend-options.js';
import {
  NO_REPLY,
  buildReply,
  malformReply,
  misnameReply,
  truncateReply,
  type ReplicaFacts,
} from './backend-reply.js';
import type { BackendRequest } from './backend-request.js';
import type { BackendFaultKind } from './backend-fault.js';
import type { FaultSwitchboard } from './fault-switchboard.js';
import type { HeldSnapshots } from './held-snapshots.js';
import { drawServiceTime } from './service-time.js';
import type { SlotQueue } from './slot-queue.js';
import type { WorkStop } from './work-stop.js';

/** What an exchange needs of the back end it runs at. */
export interface ExchangeContext {
  readonly environment: Environment;
  readonly options: BackendOptions;
  readonly slots: SlotQueue;
  readonly snapshots: HeldSnapshots;
  readonly faults: FaultSwitchboard;
  facts(): ReplicaFacts;
  /** Slowdown of a replica that is not warm yet; 1 when it is. */
  coldFactor(): number;
  /** The reply to an earlier request, for the `foreign_reply` fault. */
  previousReply: HttpResponse | undefined;
}

/** Runs one request. */
export class BackendExchange {
  /** Time at which the deadline passes, on the monotonic clock. */
  private readonly deadlineAt: number;

  constructor(
    private readonly context: ExchangeContext,
    private readonly request: BackendRequest,
    private readonly record: BackendLedgerRecord,
    private readonly stop: WorkStop,
  ) {
    this.deadlineAt = context.environment.clock.now() + request.deadline;
  }

  /** Never rejects; a request that nobody waits for any more ends in {@link NO_REPLY}. */
  async run(): Promise<HttpResponse> {
    const rejection = this.rejection();
    if (rejection !== undefined) return this.reject(rejection);
    const { slots } = this.context;
    const outcome = await slots.acquire(this.remaining(), this.stop.signal);
    if (outcome === 'cancelled') return this.abandon();
    if (outcome !== 'acquired') return this.reject('not_started');
    try {
      return await this.work();
    } finally {
      slots.release();
    }
  }

  private remaining(): number {
    return this.deadlineAt - this.context.environment.clock.now();
  }

  private rejection(): 'not_started' | 'snapshot_not_held' | undefined {
    const { snapshots } = this.context;
    if (this.context.facts().draining) return 'not_started';
    if (this.strike('shed') !== undefined) return 'not_started';
    if (!snapshots.holds(this.request.snapshot, this.request.shardId)) return 'snapshot_not_held';
    return undefined;
  }

  private reject(disposition: 'not_started' | 'snapshot_not_held'): HttpResponse {
    this.record.end(disposition);
    return this.reply(disposition, { error: disposition });
  }

  /** Ends a request that was cancelled or lost to a crash. */
  private abandon(): HttpResponse {
    this.record.end(this.stop.reason === 'crashed' ? 'lost' : 'cancelled');
    return NO_REPLY;
  }

  private async work(): Promise<HttpResponse> {
    const { environment, options } = this.context;
    this.record.start();
    this.stop.startDeadline(this.remaining());
    const slowdown = this.strike('slow')?.factor ?? 1;
    const serviceTime =
      options.workingTime?.(this.request) ??
      drawServiceTime(options.serviceTime, environment.random);
    if (this.strike('stall') !== undefined) {
      this.stop.liftDeadline();
      await this.stop.waitForever();
    }
    await this.stop.wait(serviceTime * slowdown * this.context.coldFactor());
    if (this.stop.reason === 'deadline') {
      this.record.end('failed');
      return this.reply('failed', { error: 'deadline passed' });
    }
    if (this.stop.reason !== undefined) return this.abandon();
    return this.answer();
  }

  private async answer(): Promise<HttpResponse> {
    const late = this.strike('late_reply');
    if (late !== undefined) {
      this.stop.liftDeadline();
      await this.stop.wait(this.remaining() + late.delayMs);
      if (this.stop.reason !== undefined) return this.abandon();
    }
    const result = deriveResult(this.request);
    this.record.end('answered', result.digest);
    const reply = this.reply('answered', result);
    const { previousReply } = this.context;
    this.context.previousReply = reply;
    return this.breakReply(reply, previousReply);
  }

  private breakReply(reply: HttpResponse, previous: HttpResponse | undefined): HttpResponse {
    if (this.strike('lose_reply') !== undefined) return NO_REPLY;
    if (previous !== undefined && this.strike('foreign_reply') !== undefined) return previous;
    if (this.strike('wrong_id') !== undefined) return misnameReply(reply);
    if (this.strike('malformed_body') !== undefined) return malformReply(reply);
    if (this.strike('truncate') !== undefined) return truncateReply(reply);
    return reply;
  }

  private strike(kind: BackendFaultKind): ReturnType<FaultSwitchboard['strike']> {
    const fault = this.context.faults.strike(kind);
    if (fault !== undefined) this.record.addFault(kind);
    return fault;
  }

  private reply(disposition: BackendDisposition, body: unknown): HttpResponse {
    return buildReply(this.request, disposition, this.context.facts(), body);
  }
}
