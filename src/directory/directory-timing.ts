/** Timing constants of the directory stream, in one module because they depend on each other. Milliseconds. */

/** Longest interval between two statuses of a controller, also when nothing changes. */
export const STATUS_INTERVAL_MS = 400;

/** Either side closes a stream on which it has received nothing for this long. */
export const STREAM_SILENCE_MS = 1_600;

/**
 * Initial and maximum timeout for dialling a controller; doubles with each consecutive failure, as
 * does the redial backoff. It starts short because a machine that is still powered off answers
 * nothing, and a dial soon afterwards reaches it.
 */
export const INITIAL_DIAL_TIMEOUT_MS = 150;
export const MAXIMUM_DIAL_TIMEOUT_MS = 600;

/** Initial and maximum backoff before a controller is dialled again; jittered. */
export const INITIAL_REDIAL_BACKOFF_MS = 50;
export const MAXIMUM_REDIAL_BACKOFF_MS = 300;

/** Changes within this time are sent in one frame. */
export const BATCH_INTERVAL_MS = 5;

/**
 * How often a controller refreshes its list of gateways and chooses the leaf gateways. Refreshing at
 * an interval avoids a new choice for each gateway when a fleet starts and they connect one by one.
 */
export const ROSTER_REFRESH_INTERVAL_MS = 400;

/** How often a gateway checks whether the controllers that it follows are fresh. */
export const LINK_CHECK_INTERVAL_MS = 250;

/**
 * Age of a followed controller's information above which another controller is followed as well.
 * Equals three status intervals. With the time for a dial added, it is well below the seconds within which
 * a change has to be in force.
 */
export const FOLLOWED_FRESHNESS_MS = 1_200;

/** How long after the first dial, or after its stream opened, a controller that is not fresh counts as pending. */
export const PENDING_MS = 1_000;

/**
 * Delay after which a controller that is not a gateway's preferred one sends it a new route document.
 * It covers two status intervals: by then the gateway has confirmed the document if it received it.
 */
export const FALLBACK_DOCUMENT_DELAY_MS = 1_000;

/**
 * Minimum interval between route documents that a controller sends to a gateway. Under continuous
 * changes it bounds the gateway's processor time for reading them and the bytes on its link.
 */
export const DOCUMENT_INTERVAL_MS = 250;

/** How long after its last connection a gateway still counts when budgets are shared. */
export const GATEWAY_RETENTION_MS = 15_000;

/** A controller's updates count as fresh while it has confirmed a quorum within this time. */
export const FRESHNESS_MS = 2_500;

/**
 * How long after its start a process accepts replicas that a controller has only restored from its
 * disk; afterwards its own information is more recent.
 */
export const RESTORED_ACCEPTED_MS = 8_000;
