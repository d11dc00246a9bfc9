/** The times of the directory stream, in one place because they depend on each other. Milliseconds. */

/** A controller writes a status this often, also when nothing changes. */
export const STATUS_INTERVAL_MS = 400;

/** Either side closes a stream over which nothing arrived for this long. */
export const STREAM_SILENCE_MS = 1_600;

/** Longest time to open a connection to a controller. */
export const DIAL_TIMEOUT_MS = 600;

/** Pause before a controller is dialled again; jittered. */
export const REDIAL_INTERVAL_MS = 300;

/** News within this time goes into one frame. */
export const BATCH_INTERVAL_MS = 5;

/** A gateway counts for shares of budgets this long after it was last connected. */
export const GATEWAY_REMEMBERED_MS = 15_000;

/** What a controller sends is taken as fresh while it knew of a quorum within this time. */
export const FRESH_MS = 2_500;
