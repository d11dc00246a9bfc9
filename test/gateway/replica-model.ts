/** Replicas with slots and a bounded queue, for replays against the decisions of many gateways. */
import type { AttemptResult } from '../../src/gateway/attempt-result.js';
import { NotRunReason } from '../../src/gateway/attempt-result.js';
import type { CallerRequest } from '../../src/gateway/caller-request.js';
import type { ReplicaTarget } from '../../src/gateway/replica-target.js';
import type { AttemptSender, SendOptions } from '../../src/gateway/attempt-sender.js';
import type { Clock } from '../../src/seams/clock.js';

/** How a modelled replica takes connections and speaks of its load. */
export enum ModelFault {
  None = 'none',
  /** It says nothing of its load. */
  Silent = 'silent',
  /** It always says that it is idle. */
  ReportsIdle = 'saysIdle',
  /** It always says that its queue is full. */
  ReportsFull = 'saysFull',
  /** It takes requests and never answers. */
  Hangs = 'hangs',
  /** Its listener drops opening packets. */
  DropsConnections = 'dropsOpenings',
}

/** In which the client gives up an opening by itself. Milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** There and back. Milliseconds. */
const ROUND_TRIP_MS = 2;
const SLOTS = 2;
const QUEUE_LIMIT = 8;

const ANSWER = { status: 200, headers: {}, body: new Uint8Array(0) };

/** See the module comment. */
export class ReplicaModel {
  fault = ModelFault.None;
  runs = 0;
  private running = 0;
  private readonly queue: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    /** Milliseconds. */
    readonly workMs: number,
  ) {}

  /** Resolves once it answers; never when it hangs. */
  async serve(isGone: () => boolean): Promise<'ran' | 'refused'> {
    if (this.running + this.queue.length >= SLOTS + QUEUE_LIMIT) return 'refused';
    if (this.running >= SLOTS) await new Promise<void>((resolve) => this.queue.push(resolve));
    this.running += 1;
    if (!isGone()) await this.work();
    this.running -= 1;
    this.queue.shift()?.();
    return 'ran';
  }

  get load(): { running: number; waiting: number; slots: number } {
    if (this.fault === ModelFault.ReportsIdle) return { running: 0, waiting: 0, slots: SLOTS };
    if (this.fault === ModelFault.ReportsFull)
      return { running: SLOTS, waiting: 8_000, slots: SLOTS };
    return { running: this.running, waiting: this.queue.length, slots: SLOTS };
  }

  private async work(): Promise<void> {
    this.runs += 1;
    await this.clock.sleep(this.workMs);
    if (this.fault === ModelFault.Hangs) await new Promise(() => undefined);
  }
}

/** Stands in for an `AttemptSender` over connections that are opened anew each time. */
export function senderTo(
  clock: Clock,
  models: ReadonlyMap<string, ReplicaModel>,
): Pick<AttemptSender, 'send'> {
  const exchange = async (target: ReplicaTarget, sending: SendOptions): Promise<AttemptResult> => {
    const model = models.get(target.entry.replicaId);
    if (model === undefined || model.fault === ModelFault.DropsConnections) {
      await clock.sleep(sending.connectTimeout ?? CONNECT_TIMEOUT_MS);
      return { kind: 'notRun', reason: NotRunReason.Unreachable };
    }
    await clock.sleep(ROUND_TRIP_MS);
    if (sending.signal.aborted) return { kind: 'cancelled' };
    sending.onSent();
    const outcome = await model.serve(() => sending.signal.aborted);
    if (model.fault !== ModelFault.Silent) {
      target.load = { ...model.load, workFactor: 1, at: clock.now() };
    }
    if (outcome === 'refused') return { kind: 'notRun', reason: NotRunReason.Refused };
    return { kind: 'answered', answer: ANSWER };
  };
  return {
    send: (_request: CallerRequest, target: ReplicaTarget, sending: SendOptions) => {
      const aborted = new Promise<AttemptResult>((resolve) => {
        sending.signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
      });
      return Promise.race([exchange(target, sending), aborted]);
    },
  };
}
