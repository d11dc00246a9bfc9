/** A fair queue: teams are served round-robin, so that a burst of one team does not delay the others. */

/** First in, first out within a team. */
export class TeamQueue<Item> {
  /** The items by team, in the order in which teams are served next; no set is empty. */
  private readonly teams = new Map<string, Set<Item>>();
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Number of items that would be dequeued before an item added to the team now. */
  countAhead(team: string): number {
    const own = this.teams.get(team)?.size ?? 0;
    let count = own;
    for (const [name, items] of this.teams) {
      if (name !== team) count += Math.min(items.size, own + 1);
    }
    return count;
  }

  add(team: string, item: Item): void {
    const known = this.teams.get(team);
    if (known === undefined) this.teams.set(team, new Set([item]));
    else known.add(item);
    this.count += 1;
  }

  delete(team: string, item: Item): void {
    const items = this.teams.get(team);
    if (items?.delete(item) !== true) return;
    this.count -= 1;
    if (items.size === 0) this.teams.delete(team);
  }

  /** Removes and returns the oldest item of the team that is next; undefined when the queue is empty. */
  dequeue(): Item | undefined {
    const [entry] = this.teams;
    if (entry === undefined) return undefined;
    const [team, items] = entry;
    const [item] = items;
    if (item === undefined) return undefined;
    this.teams.delete(team);
    this.teams.set(team, items);
    this.delete(team, item);
    return item;
  }

  /** Removes and returns the newest item of the team with the most items; undefined when the queue is empty. */
  removeNewestOfLongest(): Item | undefined {
    let longest: { readonly team: string; readonly items: Set<Item> } | undefined;
    for (const [team, items] of this.teams) {
      if (longest === undefined || items.size > longest.items.size) longest = { team, items };
    }
    const last = longest === undefined ? undefined : [...longest.items].at(-1);
    if (longest !== undefined && last !== undefined) this.delete(longest.team, last);
    return last;
  }
}
