/** One subscriber's stream at a controller, and what is new to it. */
import type { StoredRouteDocument } from '../routes/route-document-register.js';
import type { Clock } from '../seams/clock.js';
import {
  NO_DOCUMENT,
  SubscriberKind,
  replicaMessage,
  type DirectoryMessage,
} from './directory-messages.js';
import type { LeafGateway } from './leaf-gateway.js';
import type { ReplicaDirectory } from './replica-directory.js';

/** A controller as subscribers are told of it. */
export interface DirectoryController {
  readonly memberId: string;
  readonly address: string;
}

/** What subscribers are told. */
export interface DirectorySessionSources {
  readonly clock: Clock;
  readonly directory: ReplicaDirectory;
  readonly document: () => StoredRouteDocument | undefined;
  readonly controllers: () => readonly DirectoryController[];
  /** See `StatusMessage.ageMs`. */
  readonly ageMs: () => number;
  /** Gateways that take gathers of others. */
  readonly leaves: () => readonly LeafGateway[];
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

  private readonly toldLeaves = new Map<string, LeafGateway>();

  constructor(
    readonly name: string,
    readonly kind: SubscriberKind,
    /** The subscriber itself; undefined when it takes no gathers. */
    readonly leaf: LeafGateway | undefined,
  ) {}

  /** Everything that the subscriber was not told yet. */
  takeNews(sources: DirectorySessionSources): DirectoryMessage[] {
    const messages: DirectoryMessage[] = [];
    this.addDocument(sources, messages);
    this.addControllers(sources, messages);
    if (this.kind === SubscriberKind.Gateway) this.addLeaves(sources, messages);
    for (const entry of sources.directory.changedAfter(this.position)) {
      messages.push(replicaMessage(entry));
    }
    for (const replicaId of this.heard) messages.push({ kind: 'heard', replicaId });
    this.heard.clear();
    this.position = sources.directory.position;
    return messages;
  }

  private addDocument(sources: DirectorySessionSources, messages: DirectoryMessage[]): void {
    const document = sources.document();
    if (document === undefined || document.version <= this.documentVersion) return;
    this.documentVersion = document.version;
    messages.push({ kind: 'document', ...document });
  }

  /** What changed in the list since it was told. */
  private addLeaves(sources: DirectorySessionSources, messages: DirectoryMessage[]): void {
    const gone = new Map(this.toldLeaves);
    for (const leaf of sources.leaves()) {
      gone.delete(leaf.name);
      if (this.toldLeaves.get(leaf.name)?.address === leaf.address) continue;
      this.toldLeaves.set(leaf.name, leaf);
      messages.push({ kind: 'leaf', ...leaf, isGone: false });
    }
    for (const leaf of gone.values()) {
      this.toldLeaves.delete(leaf.name);
      messages.push({ kind: 'leaf', ...leaf, isGone: true });
    }
  }

  private addControllers(sources: DirectorySessionSources, messages: DirectoryMessage[]): void {
    const controllers = sources.controllers();
    const fingerprint = controllers.map(({ address }) => address).join(' ');
    if (fingerprint === this.controllers) return;
    this.controllers = fingerprint;
    for (const { memberId, address } of controllers) {
      messages.push({ kind: 'controller', memberId, address });
    }
  }
}
