/** The times of the directory stream, in one place because they depend on each other. Milliseconds. */

/** A controller writes a status this often, also when nothing changes. */
export const STATUS_INTERVAL_MS = 400;

/** Either side closes a stream over which nothing arrived for this long. */
export const STREAM_SILENCE_MS = 1_600;

/**
 * Time to open a connection to a controller: the first time, and at most. A
 * machine that has no power yet answers nothing, and another dial soon after
 * finds it; both times double with each failure in a row.
 */
export const INITIAL_DIAL_TIMEOUT_MS = 150;
export const MAXIMUM_DIAL_TIMEOUT_MS = 600;

/** Pause before a controller is dialled again, the first time and at most; jittered. */
export const INITIAL_REDIAL_BACKOFF_MS = 50;
export const MAXIMUM_REDIAL_BACKOFF_MS = 300;

/** News within this time goes into one frame. */
export const BATCH_INTERVAL_MS = 5;

/**
 * How often a controller looks which gateways there are, and chooses those that
 * take gathers of others: when a fleet starts, they come one after the other.
 */
export const ROSTER_REFRESH_INTERVAL_MS = 400;

/** How often a gateway looks whether the controllers that it follows are fresh. */
export const LINK_CHECK_INTERVAL_MS = 250;

/**
 * A controller is followed no longer alone when what it knows is older: three of
 * its statuses. Together with a dial that is well below the seconds within which
 * a change has to be in force.
 */
export const FOLLOWED_FRESHNESS_MS = 1_200;

/** For so long after the first dial a controller counts as one that will be fresh. */
export const PENDING_AFTER_DIAL_MS = 1_000;

/**
 * A controller that a gateway does not follow before others sends it a new route document this
 * much later, which is two statuses: by then it has said whether it has it.
 */
export const FALLBACK_DOCUMENT_DELAY_MS = 1_000;

/**
 * A gateway of another zone is sent route documents at most this often by the controller that it
 * follows before others, which bounds the bytes between zones under changes without a pause.
 */
export const CROSS_ZONE_DOCUMENT_INTERVAL_MS = 250;

/** A gateway counts for shares of budgets this long after it was last connected. */
export const GATEWAY_RETENTION_MS = 15_000;

/** What a controller sends is taken as fresh while it knew of a quorum within this time. */
export const FRESHNESS_MS = 2_500;

/**
 * For so long after its start a process takes replicas that a controller only
 * read back from its disk; later it knows better itself.
 */
export const RESTORED_ACCEPTED_MS = 8_000;
