/**
 * Grants to run a trial of a request that all gateways suspect. Without them a request that
 * arrives at many gateways at the same moment would be tried by each of them. The controllers
 * give one grant per request at a time, to a holder that the gateway names. A holder that keeps
 * it for too long is replaced, and a gateway whose controllers do not answer gives the grant to
 * itself.
 */
import type { Clock, Timer } from '../seams/clock.js';
import { QuarantineState, type QuarantineEntry } from './quarantine-entry.js';
import { NO_EVIDENCE, QuarantineChangeKind, type QuarantineChange } from './quarantine-register.js';

/** Interval at which a pending grant request is checked. Milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Controllers that have given the grant to no holder for this long count as without quorum. Milliseconds. */
const UNANSWERED_TIMEOUT_MS = 500;
/** Much longer than a trial takes; a gateway that holds a grant for this long counts as lost. Milliseconds. */
const HOLDER_TIMEOUT_MS = 2_000;

/** A grant that this gateway has requested or holds. */
interface GrantRequest {
  /** Identifies this gateway and the grant request. */
  readonly holder: string;
  isGranted: boolean;
  /** Whether a trial has begun under the grant. */
  isUsed: boolean;
  /** Holder of the grant in the last known replicated entry; empty when there was none. */
  otherHolder: string;
  /** Clock reading since which `otherHolder` has its value. Milliseconds. */
  otherSince: number;
  timer: Timer | undefined;
}

/** Dependencies of {@link TrialGrants}. */
export interface TrialGrantsParts {
  readonly clock: Clock;
  /** Name of this gateway. */
  readonly gateway: string;
  /** Sends a change to the connected controller; false while none is connected. */
  readonly send: (change: QuarantineChange) => boolean;
  /** Called when a grant has arrived, or when one has expired and must be requested again. */
  readonly onChange: (fingerprint: string) => void;
}

/** One instance per gateway; it has at most one grant request per fingerprint. */
export class TrialGrants {
  private readonly requests = new Map<string, GrantRequest>();
  private requestCount = 0;
  private isStopped = false;

  constructor(private readonly parts: TrialGrantsParts) {}

  /** True when a trial begins now under a grant; otherwise one is requested, and `onChange` is called when it arrives. */
  tryUse(entry: QuarantineEntry): boolean {
    const { fingerprint } = entry;
    const request = this.requests.get(fingerprint) ?? this.requestGrant(entry);
    if (!request.isGranted || request.isUsed) return false;
    request.isUsed = true;
    request.timer = this.parts.clock.setTimer(HOLDER_TIMEOUT_MS, () => this.expire(fingerprint));
    return true;
  }

  /**
   * Gives the grant back for the next holder, or withdraws the request for it; called when the
   * trial has ended or will not take place.
   */
  release(fingerprint: string): void {
    const request = this.drop(fingerprint);
    if (request === undefined) return;
    this.sendChange(QuarantineChangeKind.TrialEnd, fingerprint, request.holder, '');
  }

  /** Applies a newer replicated entry of a request. */
  applyEntry({ fingerprint, trialHolder, state }: QuarantineEntry): void {
    const request = this.requests.get(fingerprint);
    if (request === undefined) return;
    if (state !== QuarantineState.Suspected) this.drop(fingerprint);
    if (state !== QuarantineState.Suspected || request.isGranted) return;
    if (trialHolder === request.holder) {
      this.grant(fingerprint, request);
      return;
    }
    if (trialHolder !== request.otherHolder) this.recordOtherHolder(request, trialHolder);
    if (trialHolder === '') this.sendGrantRequest(fingerprint, request);
  }

  /** Gives back the grant of a trial whose replica hangs, so that other holders need not wait for it. */
  private expire(fingerprint: string): void {
    this.release(fingerprint);
    this.parts.onChange(fingerprint);
  }

  private drop(fingerprint: string): GrantRequest | undefined {
    const request = this.requests.get(fingerprint);
    request?.timer?.cancel();
    this.requests.delete(fingerprint);
    return request;
  }

  /** Requests a grant; it is given at once when no controller is connected. */
  private requestGrant({ fingerprint, trialHolder }: QuarantineEntry): GrantRequest {
    this.requestCount += 1;
    const request: GrantRequest = {
      holder: `${this.parts.gateway}/${this.requestCount}`,
      isGranted: false,
      isUsed: false,
      otherHolder: trialHolder,
      otherSince: this.parts.clock.now(),
      timer: undefined,
    };
    this.requests.set(fingerprint, request);
    request.isGranted = !this.sendGrantRequest(fingerprint, request);
    if (!request.isGranted) this.watch(fingerprint, request);
    return request;
  }

  /** Cancels all timers; grants that this gateway holds expire at the controllers. */
  stop(): void {
    this.isStopped = true;
    for (const fingerprint of [...this.requests.keys()]) this.drop(fingerprint);
  }

  private watch(fingerprint: string, request: GrantRequest): void {
    if (this.isStopped) return;
    request.timer = this.parts.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.check(fingerprint, request);
      if (!request.isGranted) this.watch(fingerprint, request);
    });
  }

  private check(fingerprint: string, request: GrantRequest): void {
    const waited = this.parts.clock.now() - request.otherSince;
    const isUnanswered = request.otherHolder === '' && waited >= UNANSWERED_TIMEOUT_MS;
    if (isUnanswered) this.grant(fingerprint, request);
    else if (waited >= HOLDER_TIMEOUT_MS)
      this.sendGrantRequest(fingerprint, request, request.otherHolder);
  }

  private grant(fingerprint: string, request: GrantRequest): void {
    request.isGranted = true;
    request.timer?.cancel();
    this.parts.onChange(fingerprint);
  }

  private recordOtherHolder(request: GrantRequest, holder: string): void {
    request.otherHolder = holder;
    request.otherSince = this.parts.clock.now();
  }

  private sendGrantRequest(fingerprint: string, { holder }: GrantRequest, replaces = ''): boolean {
    return this.sendChange(QuarantineChangeKind.Trial, fingerprint, holder, replaces);
  }

  private sendChange(
    kind: QuarantineChangeKind,
    fingerprint: string,
    holder: string,
    replaces: string,
  ): boolean {
    return this.parts.send({ ...NO_EVIDENCE, kind, fingerprint, holder, replaces });
  }
}
