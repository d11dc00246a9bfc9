/** Makes a leader's records durable: whatever gathered during one sync goes into the next. */
import type { MemberState } from './member-state.js';

/**
 * Writes what is pending; stops the member when that fails, because after a
 * failed sync nobody can tell what is on the disk. Under the lock only.
 */
export async function persistOrFail(state: MemberState): Promise<void> {
  const { metrics } = state.dependencies;
  const before = state.log.syncedIndex;
  if (before >= state.log.lastIndex) return;
  await stopOnDiskError(state, () => state.log.persist());
  metrics.recordsWritten.inc(state.log.syncedIndex - before);
  metrics.logSyncs.inc();
  metrics.logBytes.set(state.log.storedBytes);
}

/** Runs a disk operation; its failure stops the member and is thrown on. */
export async function stopOnDiskError<T>(
  state: MemberState,
  operation: () => Promise<T>,
): Promise<T> {
  try {
    return await operation();
  } catch (error) {
    state.failUnexpectedly(error);
    throw error;
  }
}

/** Runs until the member stops. */
export async function runRecordWriter(state: MemberState): Promise<void> {
  while (!state.signal.aborted) {
    if (state.log.syncedIndex >= state.log.lastIndex) {
      await state.recordsAdded.wait(Infinity);
      continue;
    }
    try {
      await state.runExclusive(() => persistOrFail(state));
    } catch {
      return;
    }
    state.leadership?.advanceCommit();
  }
}
