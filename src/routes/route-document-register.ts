/**
 * The replicated register that holds the route document: the highest version
 * wins, and of two documents of the same version the one that was committed
 * first. A state machine section, so every controller holds the same bytes.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import type { StateMachine } from '../consensus/replicated-log.js';
import { MessageType } from '../consensus/message-type.js';

const storedDocumentType = new MessageType('StoredRouteDocument', {
  version: 'long',
  /** As the operator sent it. */
  content: 'bytes',
});

const outcomeType = new MessageType('RouteDocumentOutcome', {
  /** Whether the command put its document in force. */
  replaced: 'boolean',
  /** In force after the command. */
  version: 'long',
});

/** A route document as it was accepted. */
export interface StoredRouteDocument {
  readonly version: number;
  /** As the operator sent it. */
  readonly content: Uint8Array;
}

/** What became of a proposed document. */
export interface RouteDocumentOutcome {
  readonly replaced: boolean;
  /** The version in force after it. */
  readonly version: number;
}

/** The bytes of a command that proposes `document`. */
export function encodeRouteDocument(document: StoredRouteDocument): Uint8Array {
  return storedDocumentType.encode(document);
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Reads what {@link RouteDocumentRegister.apply} returned. */
export function decodeRouteDocumentOutcome(result: Uint8Array): RouteDocumentOutcome {
  return outcomeType.decode(asBuffer(result));
}

/** See the module comment. */
export class RouteDocumentRegister implements StateMachine {
  /** Emits each document as it comes into force. */
  readonly changes: Stream<StoredRouteDocument>;
  private document: StoredRouteDocument | undefined;
  private readonly emit: (document: StoredRouteDocument) => void;

  constructor() {
    [this.emit, this.changes] = createAdapter<StoredRouteDocument>();
  }

  /** The document in force; undefined before the first. */
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

  /** Copies the content: decoded bytes would keep the whole message they came in. */
  private replace({ version, content }: StoredRouteDocument): void {
    this.document = { version, content: Uint8Array.from(content) };
    this.emit(this.document);
  }
}
