/** One attempt: a request sent to one replica, from the choice of the replica to the result. */
import { AttemptCancellation } from './attempt-cancellation.js';
import { choiceInputs, type AttemptRecord } from './attempt-record.js';
import { NotRunReason, REPLICA_ENDED, type AttemptResult } from './attempt-result.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import { chargeProcessor, ProcessorCause } from '../seams/processor-meter.js';
import { REPLACED_REPLICA_GRACE_MS } from './replacement-signal.js';
import type { ReplicaTarget } from './replica-target.js';
import type { SendOptions } from './attempt-sender.js';

/**
 * How long an abandoned attempt may continue: as long as a typical pause of a replica, and far less
 * than the 500 ms within which a caller's disconnect must reach the replica.
 */
const LINGER_TIMEOUT_MS = 200;
/** Abort reason, shared because creating an error per attempt costs more than the abort itself. */
const ABANDONED_ERROR = new Error('attempt abandoned: its answer is no longer needed');

/** Options of a {@link ReplicaAttempt}. */
export interface ReplicaAttemptOptions {
  readonly request: CallerRequest;
  readonly target: ReplicaTarget;
  /** Whether this is a trial: the only attempt of a suspected request from this gateway. */
  readonly isTrial: boolean;
  /** Whether to abort the attempt when another replica takes over the address. */
  readonly abortsOnReplacement: boolean;
  /** Connect timeout in milliseconds; undefined for the client's own. */
  readonly connectTimeout: number | undefined;
  /** Interval between attempts to the replica while it is cold. Milliseconds. */
  readonly coldSendInterval: number;
}

/** Sends once; the record is filled in as the attempt proceeds. */
export class ReplicaAttempt {
  readonly record: AttemptRecord;
  private readonly cancellation = new AttemptCancellation();
  private hasEnded = false;
  /** Set when the attempt is aborted because another replica took over the address. */
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

  /**
   * Whether the request was written to a connection; until then, an abort ensures that no replica
   * runs it.
   */
  get isConnected(): boolean {
    return this.record.connectedAt !== undefined;
  }

  /**
   * Sends the request; `onResult` is called once, asynchronously, after the attempt no longer
   * counts as in flight.
   */
  start(onResult: (result: AttemptResult) => void): void {
    const { target, isTrial, options } = this;
    const number = target.begin(this.record.sentAt);
    target.coldSendLimiter.recordSend(this.record.sentAt, options.coldSendInterval);
    target.unusedChecks = 0;
    if (isTrial) target.trialsInFlight += 1;
    if (options.abortsOnReplacement) target.replacement.once(this.onReplicaReplaced);
    const { processor } = this.context.environment;
    const sending = chargeProcessor(processor, ProcessorCause.Attempts, () =>
      this.context.sender.send(options.request, target, this.sendOptions),
    );
    void sending.then((result) =>
      chargeProcessor(processor, ProcessorCause.Attempts, () => {
        target.replacement.cancel(this.onReplicaReplaced);
        target.end(number);
        if (isTrial) target.trialsInFlight -= 1;
        this.hasEnded = true;
        onResult(this.wasReplicaReplaced ? this.resultAfterReplacement(result) : result);
      }),
    );
  }

  /** Aborts the attempt immediately. */
  abort(): void {
    this.cancellation.abort(ABANDONED_ERROR);
  }

  /**
   * Abandons the attempt because its answer is no longer needed. An abort closes the connection, so
   * that the next request has to open a new one. A replica without a queue is therefore left to
   * answer for up to {@link LINGER_TIMEOUT_MS}.
   */
  abandon(): void {
    const { load } = this.target;
    const hasQueue = load !== undefined && load.waiting > 0;
    // A request not yet written must never be: its caller may get the response that it was not run.
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
      signal: this.cancellation,
      connectWithin: this.options.connectTimeout,
      onSent: () => (this.record.connectedAt = clock.now()),
    };
  }

  /**
   * Aborts the attempt after a grace period for an answer that is still in transit, unless the
   * replacement has turned out to be wrong by then.
   */
  private readonly onReplicaReplaced = (): void => {
    const { clock } = this.context.environment;
    clock.setTimer(REPLACED_REPLICA_GRACE_MS, () => {
      const isLost = this.target.hasLostAddress(clock.now());
      if (!isLost || this.hasEnded) return;
      this.wasReplicaReplaced = true;
      this.abort();
    });
  };

  /** Result of an attempt that was aborted because another replica took over the address. */
  private resultAfterReplacement(result: AttemptResult): AttemptResult {
    if (result.kind !== 'cancelled') return result;
    if (this.isConnected) return { kind: 'broken', reason: REPLICA_ENDED };
    return { kind: 'notRun', reason: NotRunReason.Unreachable };
  }
}
