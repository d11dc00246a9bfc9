/** The snapshots one replica is believed to hold, from its reports and its replies. */

/**
 * How long a replica's own "not held" outweighs a report that says "held":
 * reports lag, a reply does not. Milliseconds.
 */
const DENIAL_LIFETIME_MS = 1_000;

/** Snapshots in the form `epoch.version`. */
export class HeldSnapshots {
  private held = new Set<string>();
  private readonly denials = new Map<string, number>();

  has(snapshot: string): boolean {
    return this.held.has(snapshot);
  }

  all(): Iterable<string> {
    return this.held;
  }

  /** Takes a report over; true when the belief changed. */
  replace(reported: readonly string[], now: number): boolean {
    this.forgetOldDenials(now);
    const next = new Set(reported.filter((snapshot) => !this.denials.has(snapshot)));
    const isUnchanged =
      next.size === this.held.size && [...next].every((each) => this.held.has(each));
    this.held = next;
    return !isUnchanged;
  }

  /** An answer was drawn from `snapshot`; true when the belief changed. */
  confirm(snapshot: string): boolean {
    this.denials.delete(snapshot);
    if (this.held.has(snapshot)) return false;
    this.held.add(snapshot);
    return true;
  }

  /** The replica said it does not hold `snapshot`; true when the belief changed. */
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
