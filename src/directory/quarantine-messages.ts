/** Conversion between quarantine entries or crash evidence and messages of the directory stream. */
import type { QuarantineEntry, QuarantineState } from '../quarantine/quarantine-entry.js';
import {
  joinIds,
  splitIds,
  type QuarantineChange,
  type QuarantineChangeKind,
} from '../quarantine/quarantine-register.js';
import type { CrashEvidenceMessage, QuarantineMessage } from './directory-messages.js';

/** Encodes a quarantine entry as a message. */
export function quarantineMessage(entry: QuarantineEntry): QuarantineMessage {
  const { ended, endedInTrial, ...rest } = entry;
  return {
    kind: 'quarantine',
    ...rest,
    ended: joinIds(ended),
    endedInTrial: joinIds(endedInTrial),
  };
}

/** Decodes a message into a quarantine entry; the state is not validated. */
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

/** Encodes a gateway's crash evidence as a message. */
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

/** Decodes a message into a quarantine change; the kind is not validated. */
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
