/** Decides whether a request is taken on, queued or refused, before anything is sent. */

/** A request at the door. */
export interface AdmissionRequest {
  readonly team: string;
  /** To its deadline. Milliseconds. */
  readonly remaining: number;
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal;
}

/** Held while a request is served. */
export interface AdmissionTicket {
  /** Returns the place. Call exactly once. `served` is milliseconds from admission to answer. */
  release(served: number): void;
}

/** Why a request was not admitted, and when to come back. */
export interface AdmissionRefusal {
  readonly reason: string;
  /** Milliseconds. */
  readonly retryAfter: number;
}

/** One service's door. */
export interface AdmissionPolicy {
  /** Resolves at once or after a bounded wait within the deadline. */
  admit(request: AdmissionRequest): Promise<AdmissionTicket | AdmissionRefusal>;
}
