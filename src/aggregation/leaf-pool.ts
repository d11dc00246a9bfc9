/** All connections of a root to leaves, and the choice among them. */
import type { LeafGateway } from '../directory/leaf-gateway.js';
import type { RandomSource } from '../seams/random-source.js';
import type { LeafGroup } from './leaf-group.js';
import { LeafLink, type LeafLinkOptions } from './leaf-link.js';

/** Leaves of a group to which connections are kept open besides its owners: one that stands by. */
const CONNECTED_STANDBYS = 1;
/** What a leaf said of its load is used for this long. Milliseconds. */
const LOAD_REPORT_VALIDITY_MS = 1_000;
/** A leaf with so many gathers in progress is passed over while the next one has fewer. */
const BUSY_GATHERS = 12;
/** A leaf that was late or lost is passed over for this long. Milliseconds. */
const AVOIDANCE_MS = 3_000;

/** See the module comment. */
export class LeafPool {
  private readonly links = new Map<string, LeafLink>();
  private readonly avoidedUntil = new Map<string, number>();

  constructor(
    private readonly linkOptions: LeafLinkOptions,
    private readonly random: RandomSource,
  ) {}

  /** Connections that are open. */
  get openLinks(): number {
    return [...this.links.values()].filter(({ isOpen }) => isOpen).length;
  }

  /** Opens connections to the leaves of the groups, and closes those that no group needs. */
  updateConnections(groups: readonly LeafGroup[]): void {
    const wanted = new Map<string, LeafGateway>();
    for (const { leaves, owners } of groups) {
      for (const leaf of leaves.slice(0, owners + CONNECTED_STANDBYS)) wanted.set(leaf.name, leaf);
    }
    for (const [name, link] of this.links) {
      link.closeIfSilent();
      const isWanted = wanted.get(name)?.address === link.leaf.address;
      if (isWanted || link.inProgress > 0) continue;
      this.links.delete(name);
      link.close();
    }
    for (const leaf of wanted.values()) this.getOrCreateLink(leaf).connect();
  }

  close(): void {
    for (const link of this.links.values()) link.close();
    this.links.clear();
  }

  /** The leaf did not answer in its usual time, or was lost: others are asked for a while. */
  avoid(leaf: LeafGateway): void {
    const { clock } = this.linkOptions.environment;
    this.avoidedUntil.set(leaf.name, clock.now() + AVOIDANCE_MS);
  }

  /**
   * One of the first usable leaves of the group that is not in `excluded`: of
   * two drawn by chance, the one with fewer gathers from here. Undefined when no
   * connection is open.
   */
  choose(group: LeafGroup, excluded: ReadonlySet<string>): LeafLink | undefined {
    const open = group.leaves.flatMap(({ name }) => {
      const link = excluded.has(name) ? undefined : this.links.get(name);
      return link !== undefined && link.isOpen && !link.isStopping ? [link] : [];
    });
    const preferred = open.filter((link) => !this.isAvoided(link) && !this.isBusy(link));
    const usable = (preferred.length > 0 ? preferred : open).slice(0, group.owners);
    const first = usable[Math.floor(this.random.nextFloat() * usable.length)];
    const second = usable[Math.floor(this.random.nextFloat() * usable.length)];
    if (first === undefined || second === undefined) return first;
    return first.inProgress <= second.inProgress ? first : second;
  }

  private isAvoided({ leaf }: LeafLink): boolean {
    const { clock } = this.linkOptions.environment;
    return clock.now() < (this.avoidedUntil.get(leaf.name) ?? -Infinity);
  }

  private isBusy({ reportedAt, reportedLoad }: LeafLink): boolean {
    const { clock } = this.linkOptions.environment;
    return clock.now() - reportedAt < LOAD_REPORT_VALIDITY_MS && reportedLoad >= BUSY_GATHERS;
  }

  private getOrCreateLink(leaf: LeafGateway): LeafLink {
    const known = this.links.get(leaf.name);
    if (known !== undefined) return known;
    const link = new LeafLink(this.linkOptions, leaf);
    this.links.set(leaf.name, link);
    return link;
  }
}
