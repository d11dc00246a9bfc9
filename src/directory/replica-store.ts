/**
 * Stores the replicas known to a controller on its disk, so that after a loss of all controllers
 * gateways need not wait for the next heartbeat of every replica. Restored replicas count only until
 * their next heartbeats are due. Writes are asynchronous and nothing waits for them: a disk that
 * fails or hangs delays no registration and only costs the next start its restored replicas.
 */
import { observe } from '../control-stream/observe.js';
import type { Logger } from '../observability/logger.js';
import {
  EntrySource,
  UnusableReason,
  type UnusableEntries,
} from '../observability/unusable-entries.js';
import type { Clock } from '../seams/clock.js';
import type { Disk } from '../seams/disk.js';
import { readChecksummedFile, replaceFile } from '../storage/checksummed-file.js';
import { DIRECTORY_CODEC } from './directory-messages.js';
import { replicaEntry, replicaMessage } from './replica-messages.js';
import type { ReplicaDirectory } from './replica-directory.js';
import { RegisteredState, type ReplicaEntry } from './replica-entry.js';

const FOLDER = '.';
const FILE = 'replicas';
/** Changes within this time are written together. */
const WRITE_INTERVAL_MS = 250;
/** A ready replica without a report or heartbeat for this long is no longer stored. */
const MAXIMUM_STORED_SILENCE_MS = 6_000;
/** How often the store checks for silent replicas. */
const SILENCE_CHECK_INTERVAL_MS = 2_000;
/** Pause after a write, as a multiple of the time that encoding took. */
const ENCODING_PAUSE_FACTOR = 40;
/** Pause after a failed write. */
const RETRY_INTERVAL_MS = 2_000;

/** Dependencies of the store. */
export interface ReplicaStoreParts {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly directory: ReplicaDirectory;
  readonly unusable: UnusableEntries;
  readonly logger: Logger;
  readonly stopped: AbortSignal;
}

/** Returns the stored replicas; none if the file is missing or unreadable. */
async function readStored({ disk, unusable, logger }: ReplicaStoreParts): Promise<ReplicaEntry[]> {
  try {
    const content = await readChecksummedFile(disk, FOLDER, FILE);
    if (content === undefined || content.length === 0) return [];
    return DIRECTORY_CODEC.decodeBatch(content, FILE).flatMap((message) => {
      if (message.kind !== 'replica' && message.kind !== 'replicaLife') return [];
      const entry = replicaEntry(message);
      if (entry !== undefined) return [entry];
      const { replicaId } = message;
      unusable.note(EntrySource.StoredReplicas, UnusableReason.UnknownState, { replicaId });
      return [];
    });
  } catch (error) {
    logger.warn('stored replicas not read', { reason: String(error) });
    return [];
  }
}

/** Reports the stored replicas to the directory, marked as restored. */
export async function restoreReplicas(parts: ReplicaStoreParts): Promise<void> {
  const entries = await readStored(parts);
  for (const entry of entries) {
    parts.directory.report({ ...entry, warmupMs: 0, restored: true });
  }
  if (entries.length > 0) parts.logger.info('replicas restored', { replicas: entries.length });
}

/** Writes the replicas to disk after changes, until stopped. A failed write is logged and retried. */
export async function storeReplicas(parts: ReplicaStoreParts): Promise<void> {
  const { clock, directory, stopped } = parts;
  let isChanged = false;
  let stored: readonly ReplicaEntry[] = [];
  let checkedAt = clock.now();
  observe(directory.changes, () => (isChanged = true));
  while (!stopped.aborted) {
    await clock.sleep(WRITE_INTERVAL_MS, stopped).catch(() => undefined);
    const isCheckDue = clock.now() - checkedAt > SILENCE_CHECK_INTERVAL_MS;
    if ((!isChanged && !isCheckDue) || stopped.aborted) continue;
    checkedAt = clock.now();
    const entries = entriesToStore(parts);
    if (!isChanged && entries.length === stored.length) continue;
    isChanged = false;
    const startedAt = clock.now();
    const content = DIRECTORY_CODEC.encodeBatch(entries.map(replicaMessage));
    const encodingMs = clock.now() - startedAt;
    const isStored = await writeReplicas(parts, content);
    if (isStored) stored = entries;
    else isChanged = true;
    const pause = isStored ? encodingMs * ENCODING_PAUSE_FACTOR : RETRY_INTERVAL_MS;
    await clock.sleep(pause, stopped).catch(() => undefined);
  }
}

/**
 * Returns the replicas to store. A crashed replica sends nothing and must not be restored after a
 * start, so silent replicas are left out; those that leave are kept.
 */
function entriesToStore({ clock, directory }: ReplicaStoreParts): readonly ReplicaEntry[] {
  const oldest = clock.now() - MAXIMUM_STORED_SILENCE_MS;
  return [...directory.all()].filter(
    ({ replicaId, state }) =>
      state !== RegisteredState.Ready || directory.lastHeardAt(replicaId) >= oldest,
  );
}

async function writeReplicas(
  { disk, logger }: ReplicaStoreParts,
  content: Uint8Array,
): Promise<boolean> {
  try {
    await replaceFile(disk, FOLDER, FILE, content);
    return true;
  } catch (error) {
    logger.warn('replicas not stored', { reason: String(error) });
    return false;
  }
}
