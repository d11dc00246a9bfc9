/**
 * Replicated register of the route document. The highest version is in force; of two
 * documents with the same version, the one committed first is. The register is a section of
 * the replicated state machine, so every controller holds the same bytes.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import type { StateMachine } from '../consensus/replicated-log.js';
import { MessageType } from '../consensus/message-type.js';

const storedDocumentType = new MessageType('StoredRouteDocument', {
  version: 'long',
  /** The document's bytes, exactly as the operator sent them. */
  content: 'bytes',
});

const outcomeType = new MessageType('RouteDocumentOutcome', {
  /** Whether the command's document came into force. */
  replaced: 'boolean',
  /** Version in force after the command. */
  version: 'long',
});

/** A route document that the register accepted. */
export interface StoredRouteDocument {
  readonly version: number;
  /** The document's bytes, exactly as the operator sent them. */
  readonly content: Uint8Array;
}

/** Result of proposing a document. */
export interface RouteDocumentOutcome {
  readonly replaced: boolean;
  /** Version in force after the proposal. */
  readonly version: number;
}

/** Encodes the command that proposes `document`. */
export function encodeRouteDocument(document: StoredRouteDocument): Uint8Array {
  return storedDocumentType.encode(document);
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Decodes the result of {@link RouteDocumentRegister.apply}. */
export function decodeRouteDocumentOutcome(result: Uint8Array): RouteDocumentOutcome {
  return outcomeType.decode(asBuffer(result));
}

/** State machine section; {@link encodeRouteDocument} builds its commands. */
export class RouteDocumentRegister implements StateMachine {
  /** Emits each document as it comes into force, also one restored from a snapshot. */
  readonly changes: Stream<StoredRouteDocument>;
  private document: StoredRouteDocument | undefined;
  private readonly emit: (document: StoredRouteDocument) => void;

  constructor() {
    [this.emit, this.changes] = createAdapter<StoredRouteDocument>();
  }

  /** The document in force; undefined before the first one. */
  current(): StoredRouteDocument | undefined {
    return this.document;
  }

  apply(command: Uint8Array): Uint8Array {
    const proposed = storedDocumentType.decode(asBuffer(command));
    const replaced = this.document === undefined || proposed.version > this.document.version;
    if (replaced) this.replace(proposed);
    return outcomeType.encode({ replaced, version: this.document?.version ?? proposed.version });
  }

  snapshot(): Uint8Array {
    if (this.document === undefined) return new Uint8Array(0);
    return storedDocumentType.encode(this.document);
  }

  restore(snapshot: Uint8Array): void {
    if (snapshot.length === 0) {
      this.document = undefined;
      return;
    }
    this.replace(storedDocumentType.decode(asBuffer(snapshot)));
  }

  /**
   * Copies the content: the decoded bytes are a view that would retain the whole message buffer.
   */
  private replace({ version, content }: StoredRouteDocument): void {
    this.document = { version, content: Uint8Array.from(content) };
    this.emit(this.document);
  }
}
