/**
 * Keeps the replicas that a controller knows on its disk, so that after a loss
 * of all controllers gateways need not wait for every replica's next heartbeat.
 * What is read back counts only until replicas are due to be heard of again.
 * Written behind the directory and never waited for: a disk that fails or hangs
 * delays no registration, and costs what its next start would have gained.
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
/** A replica that was not heard of for so long is no longer stored, unless it leaves. */
const MAXIMUM_STORED_SILENCE_MS = 6_000;
/** How often those are looked for. */
const SILENCE_CHECK_INTERVAL_MS = 2_000;
/** At least so many times as long as it took to encode them passes before they are written again. */
const ENCODING_PAUSE_FACTOR = 40;
/** Pause after a write that failed. */
const RETRY_INTERVAL_MS = 2_000;

/** What the store works on. */
export interface ReplicaStoreParts {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly directory: ReplicaDirectory;
  readonly unusable: UnusableEntries;
  readonly logger: Logger;
  readonly stopped: AbortSignal;
}

/** Replicas as they were stored; none when nothing can be read back. */
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

/** Reports what was stored to the directory, as restored. */
export async function restoreReplicas(parts: ReplicaStoreParts): Promise<void> {
  const entries = await readStored(parts);
  for (const entry of entries) {
    parts.directory.report({ ...entry, warmupMs: 0, restored: true });
  }
  if (entries.length > 0) parts.logger.info('replicas restored', { replicas: entries.length });
}

/** Writes the directory after each change, until stopped. */
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

/** A replica that crashed says nothing, and is not to be known again after a start. */
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
