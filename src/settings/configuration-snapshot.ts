/** The whole replicated state as one JSON document. */
import { DriftwayError } from '../errors/driftway-error.js';
import type { AcceptedChange } from './accepted-change.js';
import type { AccessToken } from './access-token.js';
import { decodeJson, encodeJson } from './configuration-command.js';
import type { ConfigurationState } from './configuration-state.js';
import type { OutcomeEntry } from './outcome-window.js';
import type { TokenRecord } from './token-record.js';

const SNAPSHOT_FORMAT = 1;

/** Everything that a controller must not forget. */
export interface ConfigurationSnapshot {
  readonly configuration: ConfigurationState;
  /** Before the oldest change of `history`. */
  readonly oldestConfiguration: ConfigurationState;
  readonly history: readonly AcceptedChange[];
  readonly outcomes: readonly OutcomeEntry[];
  readonly tokens: readonly AccessToken[];
  readonly tokenRecords: readonly TokenRecord[];
}

/** The bytes are no snapshot that this version can read. */
export class SnapshotFormatError extends DriftwayError {
  constructor(message: string, cause?: unknown) {
    super(message, { step: 'restore configuration snapshot', cause });
  }
}

export function encodeSnapshot(snapshot: ConfigurationSnapshot): Uint8Array {
  return encodeJson({ format: SNAPSHOT_FORMAT, ...snapshot });
}

/** @throws SnapshotFormatError when the bytes are not of this format. */
export function decodeSnapshot(bytes: Uint8Array): ConfigurationSnapshot {
  let document: ConfigurationSnapshot & { format?: unknown };
  try {
    document = decodeJson(bytes) as typeof document;
  } catch (error) {
    throw new SnapshotFormatError('the snapshot is not JSON', error);
  }
  if (document.format !== SNAPSHOT_FORMAT) {
    throw new SnapshotFormatError(`the snapshot has format ${String(document.format)}`);
  }
  return document;
}
