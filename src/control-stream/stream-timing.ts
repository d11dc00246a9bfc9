/**
 * Timing constants of the control stream, kept together because they depend on
 * each other. Milliseconds.
 */

/** Interval at which a controller writes heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** A daemon leaves a source from which nothing arrived for this long: three heartbeats. */
export const SOURCE_SILENCE_MS = 3_000;

/** A source without quorum contact for this long no longer proves freshness. */
export const QUORUM_LEASE_MS = 4_000;

/** Interval at which a daemon checks whether it must leave its source. */
export const WATCH_INTERVAL_MS = 500;

/** Timeout for opening the connection to a source. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Timeout, after subscribing, for the first message of a source. */
export const WELCOME_TIMEOUT_MS = 3_000;

/** Timeout for a controller to prove to a new subscriber that it is fresh. */
export const PROOF_TIMEOUT_MS = 2_000;

/** Interval at which a daemon reports the revision in force, even when it has not changed. */
export const REPORT_INTERVAL_MS = 2_000;

/** A controller closes the stream of a daemon from which nothing arrived for this long. */
export const SUBSCRIBER_SILENCE_MS = 10_000;

/** First and longest back-off before a failed source is tried again; jittered. */
export const INITIAL_BACK_OFF_MS = 200;
export const MAXIMUM_BACK_OFF_MS = 5_000;

/** Mean pause before a daemon that follows another zone's controller probes one of its own zone. */
export const RETURN_CHECK_INTERVAL_MS = 5_000;

/**
 * A controller of the daemon's own zone must stay healthy for this long before
 * the daemon returns to it.
 */
export const RETURN_AFTER_MS = 10_000;

/** How long a daemon tolerates a stale source, when there is no other, before it selects again. */
export const STALE_STAY_MS = 5_000;
