/** The times of the control stream, in one place because they depend on each other. Milliseconds. */

/** A controller writes a heartbeat this often. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** A daemon leaves a source from which nothing arrived for this long: three heartbeats. */
export const SOURCE_SILENCE_MS = 3_000;

/** A source that heard no quorum for this long proves nothing any more. */
export const QUORUM_LEASE_MS = 4_000;

/** How often a daemon looks whether it has to leave its source. */
export const WATCH_INTERVAL_MS = 500;

/** Longest time to open the connection to a source. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Longest wait, after subscribing, for the first message of a source. */
export const WELCOME_TIMEOUT_MS = 3_000;

/** Longest time a controller tries to prove to a new subscriber that it is fresh. */
export const PROOF_TIMEOUT_MS = 2_000;

/** A daemon reports the revision in force this often, also when it does not change. */
export const REPORT_INTERVAL_MS = 2_000;

/** A controller closes the stream of a daemon from which nothing arrived for this long. */
export const SUBSCRIBER_SILENCE_MS = 10_000;

/** First and longest pause before a source that failed is tried again; jittered. */
export const INITIAL_BACK_OFF_MS = 200;
export const MAXIMUM_BACK_OFF_MS = 5_000;

/** A daemon away from its zone looks this often whether a controller of its zone is back. */
export const RETURN_CHECK_INTERVAL_MS = 5_000;

/** A controller of the own zone must have been healthy for this long before a daemon returns. */
export const RETURN_AFTER_MS = 10_000;

/** How long a daemon stays with a stale source, when there is no other, before it looks again. */
export const STALE_STAY_MS = 5_000;
