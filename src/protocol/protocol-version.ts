/** Version of the messages between the system's own processes. */

/** Spoken by this build. Raised whenever a message changes its meaning or its bytes. */
export const PROTOCOL_VERSION = 3;

/** Oldest version this build still understands. */
export const OLDEST_PROTOCOL_VERSION = 1;
