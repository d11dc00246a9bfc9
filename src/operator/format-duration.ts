/** How long ago, and from when on that is too long. */
import { DAEMON_LEASE_MS } from '../control-stream/daemon-directory.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Whether a daemon's lease has run out. */
export function isSilent(silentMs: number | undefined): silentMs is number {
  return silentMs !== undefined && silentMs > DAEMON_LEASE_MS;
}

/** Shorter times are given in milliseconds. Milliseconds. */
const SHORT_MS = 10_000;

/** `340 ms` or `12 s`. */
export function formatDuration(milliseconds: number): string {
  if (milliseconds < SHORT_MS) return `${Math.round(milliseconds)} ms`;
  return `${Math.round(milliseconds / MILLISECONDS_PER_SECOND)} s`;
}
