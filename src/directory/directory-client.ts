/**
 * Follows every known controller at once and joins what they say, so that the
 * loss or silence of one of them delays nothing.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import type { Logger } from '../observability/logger.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import type { Environment } from '../seams/environment.js';
import { DirectoryLink, type DirectoryLinkParts, type LinkNews } from './directory-link.js';
import {
  NO_DOCUMENT,
  replicaEntry,
  type DocumentMessage,
  type ReplicaMessage,
  type SubscriberKind,
} from './directory-messages.js';
import { FRESH_MS, TAKES_RESTORED_MS } from './directory-timing.js';
import type { LeafGateway } from './leaf-gateway.js';
import type { ReplicaDirectory } from './replica-directory.js';

/** Most controllers that are followed at once. */
const MAXIMUM_LINKS = 12;

/** What a client is started with. */
export interface DirectoryClientOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly subscriberKind: SubscriberKind;
  readonly zone: string;
  readonly directory: ReplicaDirectory;
  readonly logger: Logger;
  /** This process's own address for internal messages, which it does not follow. */
  readonly ownAddress?: string;
  /** Where it takes gathers of other gateways, `host:port`; absent when it takes none. */
  readonly gatherAddress?: string;
}

/** See the module comment. */
export class DirectoryClient {
  /** Emits each route document that is newer than all before it. */
  readonly documents: Stream<DocumentMessage>;
  private readonly emitDocument: (document: DocumentMessage) => void;
  private readonly links = new Map<string, DirectoryLink>();
  private seeds: readonly string[] = [];
  /** As this process's own log has them; empty at a gateway, which goes by what controllers say. */
  private members: readonly string[] = [];
  private documentVersion = NO_DOCUMENT;
  private joinedLeaves: readonly LeafGateway[] = [];
  private readonly startedAt: number;
  private readonly linkParts: DirectoryLinkParts;

  constructor(private readonly options: DirectoryClientOptions) {
    [this.emitDocument, this.documents] = createAdapter<DocumentMessage>();
    const { environment, identity, subscriberKind, zone, gatherAddress = '' } = options;
    this.startedAt = environment.clock.now();
    this.linkParts = {
      environment,
      identity,
      subscriberKind,
      zone,
      gatherAddress,
      take: (message) => this.take(message),
      onLeaves: () => this.joinLeaves(),
      onControllers: () => this.adjustLinks(),
      documentVersion: () => this.documentVersion,
      onState: (link, isOpen) => this.logState(link, isOpen),
    };
  }

  /** Replaces the addresses to begin with, `host:port` each. */
  useSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
    this.adjustLinks();
  }

  /** Replaces the known members of the group, as this controller's own log has them. */
  useMembers(addresses: readonly string[]): void {
    this.members = addresses;
    this.adjustLinks();
  }

  /** Whether a controller that knew of a quorum lately is being followed. */
  get isFresh(): boolean {
    const now = this.options.environment.clock.now();
    return [...this.links.values()].some(({ status }) => {
      if (status === undefined) return false;
      return now - status.receivedAt + status.ageMs < FRESH_MS;
    });
  }

  /** Controllers that are being followed now. */
  get openLinks(): number {
    return [...this.links.values()].filter(({ status }) => status !== undefined).length;
  }

  /** The most gateways that any controller has seen lately; undefined while none is followed. */
  get gateways(): number | undefined {
    const counts = [...this.links.values()].flatMap(({ status }) => status?.gateways ?? []);
    return counts.length === 0 ? undefined : Math.max(...counts);
  }

  /**
   * Gateways that take gathers of others, as any followed controller names them;
   * those last named while none is followed. A new array whenever it changes.
   */
  get leaves(): readonly LeafGateway[] {
    return this.joinedLeaves;
  }

  async stop(): Promise<void> {
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map((link) => link.stop()));
  }

  private take(message: LinkNews): void {
    const { directory } = this.options;
    switch (message.kind) {
      case 'replica':
        this.takeReplica(message);
        return;
      case 'heard':
        directory.noteHeard(message.replicaId);
        return;
      case 'document':
        this.takeDocument(message);
        return;
      default:
    }
  }

  private takeReplica(message: ReplicaMessage): void {
    const entry = replicaEntry(message);
    if (entry === undefined) return;
    const isUseful = entry.restored !== true || this.isYoung;
    if (isUseful) this.options.directory.report(entry);
  }

  /** Whether this process may still lack replicas that the fleet knew before it started. */
  private get isYoung(): boolean {
    return this.options.environment.clock.now() - this.startedAt < TAKES_RESTORED_MS;
  }

  /** An older document never replaces a newer one, whoever sends it. */
  private takeDocument(message: DocumentMessage): void {
    if (message.version <= this.documentVersion) return;
    this.documentVersion = message.version;
    this.emitDocument(message);
  }

  private joinLeaves(): void {
    const joined = new Map<string, LeafGateway>();
    for (const { status, leaves } of this.links.values()) {
      if (status === undefined) continue;
      for (const leaf of leaves.values()) joined.set(leaf.name, leaf);
    }
    if (joined.size > 0) this.joinedLeaves = [...joined.values()];
  }

  private adjustLinks(): void {
    const told = [...this.links.values()].flatMap(({ controllers }) => controllers);
    // The union: the list of a controller that is cut off may be old.
    const wanted = new Set([...this.members, ...this.seeds, ...told]);
    if (this.options.ownAddress !== undefined) wanted.delete(this.options.ownAddress);
    for (const [address, link] of this.links) {
      if (wanted.has(address)) continue;
      this.links.delete(address);
      void link.stop();
    }
    for (const address of [...wanted].slice(0, MAXIMUM_LINKS)) {
      if (this.links.has(address)) continue;
      this.links.set(address, new DirectoryLink(this.linkParts, address));
    }
  }

  private logState(link: DirectoryLink, isOpen: boolean): void {
    const { logger } = this.options;
    const fields = { controller: link.address };
    if (!isOpen) this.joinLeaves();
    if (isOpen) logger.info('controller regained', fields);
    else logger.warn('controller lost', fields);
  }
}
