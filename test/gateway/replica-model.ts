/** Models replicas with slots and a bounded queue, for simulations of the decisions of many gateways. */
import type { AttemptResult } from '../../src/gateway/attempt-result.js';
import { NotRunReason } from '../../src/gateway/attempt-result.js';
import type { CallerRequest } from '../../src/gateway/caller-request.js';
import type { ReplicaTarget } from '../../src/gateway/replica-target.js';
import type { AttemptSender, SendOptions } from '../../src/gateway/attempt-sender.js';
import type { Clock } from '../../src/seams/clock.js';

/** Fault in how a modelled replica accepts connections, answers or reports its load. */
export enum ModelFault {
  None = 'none',
  /** The replica sends no load reports. */
  Silent = 'silent',
  /** The replica always reports that it is idle. */
  ReportsIdle = 'saysIdle',
  /** The replica always reports a full queue. */
  ReportsFull = 'saysFull',
  /** The replica accepts requests and never answers. */
  Hangs = 'hangs',
  /** The replica's listener drops connection requests. */
  DropsConnections = 'dropsOpenings',
}

/** Connect timeout of the client where an attempt sets none. Milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Network round trip. Milliseconds. */
const ROUND_TRIP_MS = 2;
const SLOTS = 2;
const QUEUE_LIMIT = 8;

const ANSWER = { status: 200, headers: {}, body: new Uint8Array(0) };

/** One replica; each request runs for `workMs` in one of its slots. */
export class ReplicaModel {
  fault = ModelFault.None;
  runs = 0;
  private running = 0;
  private readonly queue: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    /** Time that a request occupies a slot. Milliseconds. */
    readonly workMs: number,
  ) {}

  /**
   * Resolves when the replica answers; never if it hangs. Skips the work if `isGone` returns true
   * when a slot is free.
   */
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

/** Replaces an `AttemptSender`; every attempt opens a new connection. */
export function senderTo(
  clock: Clock,
  models: ReadonlyMap<string, ReplicaModel>,
): Pick<AttemptSender, 'send'> {
  const exchange = async (target: ReplicaTarget, options: SendOptions): Promise<AttemptResult> => {
    const model = models.get(target.entry.replicaId);
    if (model === undefined || model.fault === ModelFault.DropsConnections) {
      await clock.sleep(options.connectWithin ?? CONNECT_TIMEOUT_MS);
      return { kind: 'notRun', reason: NotRunReason.Unreachable };
    }
    await clock.sleep(ROUND_TRIP_MS);
    if (options.signal.aborted) return { kind: 'cancelled' };
    options.onSent();
    const outcome = await model.serve(() => options.signal.aborted);
    if (model.fault !== ModelFault.Silent) {
      target.load = { ...model.load, workFactor: 1, at: clock.now() };
    }
    if (outcome === 'refused') return { kind: 'notRun', reason: NotRunReason.Refused };
    return { kind: 'answered', answer: ANSWER };
  };
  return {
    send: (_request: CallerRequest, target: ReplicaTarget, options: SendOptions) => {
      const aborted = new Promise<AttemptResult>((resolve) => {
        options.signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
      });
      return Promise.race([exchange(target, options), aborted]);
    },
  };
}
