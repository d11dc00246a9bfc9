/** Admission control: a request is admitted, queued or refused before any attempt is sent. */

/** A request that asks for admission. */
export interface AdmissionRequest {
  readonly team: string;
  /** Time to the request's deadline. Milliseconds. */
  readonly remaining: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Proof of admission; counts as one request in flight until it is released. */
export interface AdmissionTicket {
  /** Call exactly once. `latency` is the time from admission to the answer. Milliseconds. */
  release(latency: number): void;
}

/** The refusal of a request. */
export interface AdmissionRefusal {
  readonly reason: string;
  /** Delay after which the caller may retry. Milliseconds. */
  readonly retryAfter: number;
}

/** Admission control of one service. */
export interface AdmissionPolicy {
  /** Resolves at once, or after a bounded wait in the queue that ends by the request's deadline. */
  admit(request: AdmissionRequest): Promise<AdmissionTicket | AdmissionRefusal>;
}
