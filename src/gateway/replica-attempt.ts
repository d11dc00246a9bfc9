/** One sending of a request to one replica, from its choice until its result is known. */
import { choiceInputs, type AttemptRecord } from './attempt-record.js';
import { NotRunReason, REPLICA_ENDED, type AttemptResult } from './attempt-result.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import { REPLACED_REPLICA_GRACE_MS } from './replacement-signal.js';
import type { ReplicaTarget } from './replica-target.js';
import type { SendOptions } from './attempt-sender.js';

/**
 * Longest time that an attempt goes on after its answer is not wanted any more: a pause of a
 * replica, and far less than the half second in which a caller's leaving has to reach it. Milliseconds.
 */
const LINGER_TIMEOUT_MS = 200;
/** Why attempts are aborted. One for all: an error made for each would cost more than the abort. */
const ABANDONED_ERROR = new Error('the answer is not wanted any more');

/** What is sent, where to and how. */
export interface ReplicaAttemptOptions {
  readonly request: CallerRequest;
  readonly target: ReplicaTarget;
  /** The only sending of a suspected request from here. */
  readonly isTrial: boolean;
  /** Whether it is given up when another replica has the address. */
  readonly abortsOnReplacement: boolean;
  /** Longest wait for a connection; that of the client alone when undefined. Milliseconds. */
  readonly connectTimeout: number | undefined;
  /** Time between two sendings to the replica while it is cold. Milliseconds. */
  readonly coldSendInterval: number;
}

/** See the module comment. */
export class ReplicaAttempt {
  readonly record: AttemptRecord;
  private readonly abortController = new AbortController();
  private hasEnded = false;
  /** Given up because another replica has the address. */
  private wasReplicaReplaced = false;

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
    target.coldSendLimiter.recordSend(this.record.sentAt, options.coldSendInterval);
    target.unusedChecks = 0;
    if (isTrial) target.trialsInFlight += 1;
    if (options.abortsOnReplacement) target.replacement.once(this.onReplicaReplaced);
    void this.context.sender.send(options.request, target, this.sendOptions).then((result) => {
      target.replacement.cancel(this.onReplicaReplaced);
      target.end(number);
      if (isTrial) target.trialsInFlight -= 1;
      this.hasEnded = true;
      onResult(this.wasReplicaReplaced ? this.resultAfterReplacement(result) : result);
    });
  }

  /** Ends it at once. */
  abort(): void {
    this.abortController.abort(ABANDONED_ERROR);
  }

  /**
   * Its answer is not wanted any more. Closing its connection ends an attempt at once, and costs
   * the next request a new connection. A replica without a queue is left to answer for a moment
   * instead.
   */
  abandon(): void {
    const { load } = this.target;
    const hasQueue = load !== undefined && load.waiting > 0;
    // One that is not written yet must never be: its caller may be told that it was not run.
    const mayLinger = this.context.mechanisms.lingering && this.isConnected;
    if (!mayLinger || hasQueue) {
      this.abort();
      return;
    }
    const { clock } = this.context.environment;
    clock.setTimer(LINGER_TIMEOUT_MS, () => this.abort());
  }

  private get sendOptions(): SendOptions {
    const { clock } = this.context.environment;
    return {
      signal: this.abortController.signal,
      connectTimeout: this.options.connectTimeout,
      onSent: () => (this.record.connectedAt = clock.now()),
    };
  }

  /** Gives it up once what the replica wrote before its end is here; not where its loss was false word. */
  private readonly onReplicaReplaced = (): void => {
    const { clock } = this.context.environment;
    clock.setTimer(REPLACED_REPLICA_GRACE_MS, () => {
      const isLost = this.target.hasLostAddress(clock.now());
      if (!isLost || this.hasEnded) return;
      this.wasReplicaReplaced = true;
      this.abort();
    });
  };

  /** Of an attempt that was given up because another replica has the address. */
  private resultAfterReplacement(result: AttemptResult): AttemptResult {
    if (result.kind !== 'cancelled') return result;
    if (this.isConnected) return { kind: 'broken', reason: REPLICA_ENDED };
    return { kind: 'notRun', reason: NotRunReason.Unreachable };
  }
}
