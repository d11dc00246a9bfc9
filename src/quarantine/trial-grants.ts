/**
 * Permissions to try a request that all gateways suspect: without them a request that comes to
 * many gateways at the same moment would be tried by each of them. The controllers give one at
 * a time, to a holder that the gateway names. A holder that is not heard of any more is
 * replaced after a while, and where no controller answers, the gateway tries by itself.
 */
import type { Clock, Timer } from '../seams/clock.js';
import { QuarantineState, type QuarantineEntry } from './quarantine-entry.js';
import { NO_EVIDENCE, QuarantineChangeKind, type QuarantineChange } from './quarantine-register.js';

/** How often a request for a permission is looked after. Milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Controllers that have not given a permission to anybody for so long have no quorum. Milliseconds. */
const UNANSWERED_TIMEOUT_MS = 500;
/** A trial ends far sooner; its gateway is taken for lost. Milliseconds. */
const HOLDER_TIMEOUT_MS = 2_000;

/** A permission that was asked for. */
interface GrantRequest {
  /** Names this gateway and the trial. */
  readonly holder: string;
  isGranted: boolean;
  /** A trial has begun with it. */
  isUsed: boolean;
  /** Who had the permission when it was last heard of; empty when nobody. */
  otherHolder: string;
  /** Since when that is so. Clock reading. */
  otherSince: number;
  timer: Timer | undefined;
}

/** What permissions are asked for with. */
export interface TrialGrantsParts {
  readonly clock: Clock;
  /** Name of this gateway. */
  readonly gateway: string;
  /** Sends a change to a controller; false while none is followed. */
  readonly send: (change: QuarantineChange) => boolean;
  /** A permission has come, or one is to be asked for anew. */
  readonly onChange: (fingerprint: string) => void;
}

/** See the module comment. */
export class TrialGrants {
  private readonly requests = new Map<string, GrantRequest>();
  private requestCount = 0;

  constructor(private readonly parts: TrialGrantsParts) {}

  /** Whether a trial begins now; if not, a permission is asked for, and `onNews` tells when it may be there. */
  tryUse(entry: QuarantineEntry): boolean {
    const { fingerprint } = entry;
    const request = this.requests.get(fingerprint) ?? this.requestGrant(entry);
    if (!request.isGranted || request.isUsed) return false;
    request.isUsed = true;
    request.timer = this.parts.clock.setTimer(HOLDER_TIMEOUT_MS, () => this.expire(fingerprint));
    return true;
  }

  /** A trial is over, or will not be made: the next holder may have the permission. */
  release(fingerprint: string): void {
    const request = this.drop(fingerprint);
    if (request === undefined) return;
    this.sendChange(QuarantineChangeKind.TrialEnd, fingerprint, request.holder, '');
  }

  /** Takes newer word of the controllers about a request. */
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

  /** The trial goes on at a replica that hangs: others are not to wait for it any longer. */
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

  /** Granted at once when no controller can be asked. */
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

  private watch(fingerprint: string, request: GrantRequest): void {
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
