/** What is known of requests under which replicas end, as messages of the directory stream, and back. */
import type { QuarantineEntry, QuarantineState } from '../quarantine/quarantine-entry.js';
import {
  joinIds,
  splitIds,
  type QuarantineChange,
  type QuarantineChangeKind,
} from '../quarantine/quarantine-register.js';
import type { CrashEvidenceMessage, QuarantineMessage } from './directory-messages.js';

/** How an entry of the quarantine is sent. */
export function quarantineMessage(entry: QuarantineEntry): QuarantineMessage {
  const { ended, endedInTrial, ...rest } = entry;
  return {
    kind: 'quarantine',
    ...rest,
    ended: joinIds(ended),
    endedInTrial: joinIds(endedInTrial),
  };
}

/** The entry of a message. */
export function quarantineEntry(message: QuarantineMessage): QuarantineEntry {
  const { state, trialHolder, revision, fingerprint, description } = message;
  const { ended, endedInTrial } = message;
  return {
    state: state as QuarantineState,
    trialHolder,
    revision,
    fingerprint,
    description,
    ended: splitIds(ended),
    endedInTrial: splitIds(endedInTrial),
  };
}

/** How what a gateway saw is sent. */
export function crashEvidenceMessage(change: QuarantineChange): CrashEvidenceMessage {
  const { kind, ended, endedInTrial, ...rest } = change;
  return {
    kind: 'crashEvidence',
    change: kind,
    ...rest,
    ended: joinIds(ended),
    endedInTrial: joinIds(endedInTrial),
  };
}

/** The change that a message tells of. */
export function quarantineChange(message: CrashEvidenceMessage): QuarantineChange {
  const { change, holder, replaces, fingerprint, description, ended, endedInTrial } = message;
  return {
    kind: change as QuarantineChangeKind,
    holder,
    replaces,
    fingerprint,
    description,
    ended: splitIds(ended),
    endedInTrial: splitIds(endedInTrial),
  };
}
