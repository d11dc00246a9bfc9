/** One subscriber's stream at a controller, and what is new to it. */
import type { StoredRouteDocument } from '../routes/route-document-register.js';
import type { Clock } from '../seams/clock.js';
import type { SubscriberKind } from './directory-messages.js';
import { NO_DOCUMENT, replicaMessage, type DirectoryMessage } from './directory-messages.js';
import type { ReplicaDirectory } from './replica-directory.js';

/** A controller as subscribers are told of it. */
export interface DirectoryController {
  readonly memberId: string;
  readonly address: string;
}

/** What subscribers are told. */
export interface DirectoryServerSources {
  readonly clock: Clock;
  readonly directory: ReplicaDirectory;
  readonly document: () => StoredRouteDocument | undefined;
  readonly controllers: () => readonly DirectoryController[];
  /** See `StatusMessage.ageMs`. */
  readonly ageMs: () => number;
}

/** See the module comment. */
export class DirectorySession {
  /** Told up to here. */
  position = 0;
  /** The subscriber has taken in everything up to here. */
  confirmedPosition = -1;
  /** Heartbeats heard since the last frame; only controllers are told of them. */
  readonly heard = new Set<string>();
  private documentVersion = NO_DOCUMENT;
  private controllers = '';

  constructor(
    readonly name: string,
    readonly kind: SubscriberKind,
  ) {}

  /** Everything that the subscriber was not told yet. */
  takeNews(sources: DirectoryServerSources): DirectoryMessage[] {
    const messages: DirectoryMessage[] = [];
    this.addDocument(sources, messages);
    this.addControllers(sources, messages);
    for (const entry of sources.directory.changedAfter(this.position)) {
      messages.push(replicaMessage(entry));
    }
    for (const replicaId of this.heard) messages.push({ kind: 'heard', replicaId });
    this.heard.clear();
    this.position = sources.directory.position;
    return messages;
  }

  private addDocument(sources: DirectoryServerSources, messages: DirectoryMessage[]): void {
    const document = sources.document();
    if (document === undefined || document.version <= this.documentVersion) return;
    this.documentVersion = document.version;
    messages.push({ kind: 'document', ...document });
  }

  private addControllers(sources: DirectoryServerSources, messages: DirectoryMessage[]): void {
    const controllers = sources.controllers();
    const fingerprint = controllers.map(({ address }) => address).join(' ');
    if (fingerprint === this.controllers) return;
    this.controllers = fingerprint;
    for (const { memberId, address } of controllers) {
      messages.push({ kind: 'controller', memberId, address });
    }
  }
}
