/** A queue that serves its teams in turn, so that a flood from one does not hold up another. */

/** First come, first served within a team. */
export class TeamQueue<Item> {
  /** In order of the next turn; none is empty. */
  private readonly teams = new Map<string, Set<Item>>();
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Items that leave before one added now would. */
  countAhead(team: string): number {
    const own = this.teams.get(team)?.size ?? 0;
    let ahead = own;
    for (const [name, items] of this.teams) {
      if (name !== team) ahead += Math.min(items.size, own + 1);
    }
    return ahead;
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

  /** Takes out the first of the team whose turn it is. */
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

  /** Takes out the last that came of the team with the longest queue. */
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
