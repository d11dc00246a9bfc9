/** One sending of a request to one replica, from its choice until its result is known. */
import { choiceInputs, type AttemptRecord } from './attempt-record.js';
import { NotRunReason, REPLICA_ENDED, type AttemptResult } from './attempt-result.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import { LAST_WORDS_MS } from './replica-end.js';
import type { ReplicaTarget } from './replica-target.js';
import type { Sending } from './send-attempt.js';

/**
 * Longest time that an attempt goes on after its answer is not wanted any more: a pause of a
 * replica, and far less than the half second in which a caller's leaving has to reach it. Milliseconds.
 */
const LINGER_MS = 200;
/** Why attempts are aborted. One for all: an error made for each would cost more than the abort. */
const NOT_WANTED = new Error('the answer is not wanted any more');

/** What is sent, where to and how. */
export interface ReplicaAttemptOptions {
  readonly request: CallerRequest;
  readonly target: ReplicaTarget;
  /** The only sending of a suspected request from here. */
  readonly isTrial: boolean;
  /** Whether it is given up when another replica has the address. */
  readonly leavesEndedReplica: boolean;
  /** Longest wait for a connection; that of the client alone when undefined. Milliseconds. */
  readonly connectWithin: number | undefined;
  /** Time between two sendings to the replica while it is cold. Milliseconds. */
  readonly coldSlotLength: number;
}

/** See the module comment. */
export class ReplicaAttempt {
  readonly record: AttemptRecord;
  private readonly abortion = new AbortController();
  private isOver = false;
  /** Given up because another replica has the address. */
  private hasReplicaEnded = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: ReplicaAttemptOptions,
  ) {
    const sentAt = context.environment.clock.now();
    this.record = {
      inputs: choiceInputs(options.target, sentAt),
      sentAt,
      connectedAt: undefined,
      endedAt: undefined,
      result: undefined,
    };
  }

  get target(): ReplicaTarget {
    return this.options.target;
  }

  get isTrial(): boolean {
    return this.options.isTrial;
  }

  /** Whether the replica may run it; before it is written to a connection an abort makes sure that none does. */
  get isConnected(): boolean {
    return this.record.connectedAt !== undefined;
  }

  /** Sends; `onResult` is called once, later, when the replica counts it no longer. */
  start(onResult: (result: AttemptResult) => void): void {
    const { target, isTrial, options } = this;
    const number = target.begin(this.record.sentAt);
    target.coldSends.use(this.record.sentAt, options.coldSlotLength);
    target.warmChecks = 0;
    if (isTrial) target.trials += 1;
    if (options.leavesEndedReplica) target.ending.once(this.onReplicaEnded);
    void this.context.sender.send(options.request, target, this.sending).then((result) => {
      target.ending.cancel(this.onReplicaEnded);
      target.end(number);
      if (isTrial) target.trials -= 1;
      this.isOver = true;
      onResult(this.hasReplicaEnded ? this.resultAtEnded(result) : result);
    });
  }

  /** Ends it at once. */
  abort(): void {
    this.abortion.abort(NOT_WANTED);
  }

  /**
   * Its answer is not wanted any more. Closing its connection ends an attempt at once, and costs
   * the next request a new connection. A replica without a queue is left to answer for a moment
   * instead.
   */
  letGo(): void {
    const { load } = this.target;
    const hasQueue = load !== undefined && load.waiting > 0;
    // One that is not written yet must never be: its caller may be told that it was not run.
    const mayLinger = this.context.mechanisms.lingering && this.isConnected;
    if (!mayLinger || hasQueue) {
      this.abort();
      return;
    }
    const { clock } = this.context.environment;
    clock.setTimer(LINGER_MS, () => this.abort());
  }

  private get sending(): Sending {
    const { clock } = this.context.environment;
    return {
      signal: this.abortion.signal,
      connectWithin: this.options.connectWithin,
      onSent: () => (this.record.connectedAt = clock.now()),
    };
  }

  /** Gives it up once what the replica wrote before its end is here; not where its loss was false word. */
  private readonly onReplicaEnded = (): void => {
    const { clock } = this.context.environment;
    clock.setTimer(LAST_WORDS_MS, () => {
      const isLost = this.target.hasLostAddress(clock.now());
      if (!isLost || this.isOver) return;
      this.hasReplicaEnded = true;
      this.abort();
    });
  };

  /** Of an attempt that was given up because another replica has the address. */
  private resultAtEnded(result: AttemptResult): AttemptResult {
    if (result.kind !== 'cancelled') return result;
    if (this.isConnected) return { kind: 'broken', reason: REPLICA_ENDED };
    return { kind: 'notRun', reason: NotRunReason.Unreachable };
  }
}
