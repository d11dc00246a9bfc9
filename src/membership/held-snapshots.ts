/** Tracks which snapshots a replica presumably holds, from its reports and its replies. */

/**
 * How long a reply "not held" takes precedence over a report that lists the snapshot: reports lag
 * behind, replies do not. Milliseconds.
 */
const DENIAL_LIFETIME_MS = 1_000;

/** Snapshots have the form `epoch.version`. */
export class HeldSnapshots {
  private held = new Set<string>();
  private readonly denials = new Map<string, number>();

  has(snapshot: string): boolean {
    return this.held.has(snapshot);
  }

  all(): Iterable<string> {
    return this.held;
  }

  /** Replaces the held snapshots by those of a report; returns true if they changed. */
  replace(reported: readonly string[], now: number): boolean {
    this.forgetOldDenials(now);
    const next = new Set(reported.filter((snapshot) => !this.denials.has(snapshot)));
    const isUnchanged =
      next.size === this.held.size && [...next].every((each) => this.held.has(each));
    this.held = next;
    return !isUnchanged;
  }

  /** Records an answer read from `snapshot`; returns true if the held snapshots changed. */
  confirm(snapshot: string): boolean {
    this.denials.delete(snapshot);
    if (this.held.has(snapshot)) return false;
    this.held.add(snapshot);
    return true;
  }

  /** Records a reply that `snapshot` is not held; returns true if the held snapshots changed. */
  deny(snapshot: string, now: number): boolean {
    this.denials.set(snapshot, now + DENIAL_LIFETIME_MS);
    return this.held.delete(snapshot);
  }

  clear(): void {
    this.held.clear();
    this.denials.clear();
  }

  private forgetOldDenials(now: number): void {
    for (const [snapshot, until] of this.denials) {
      if (until <= now) this.denials.delete(snapshot);
    }
  }
}
