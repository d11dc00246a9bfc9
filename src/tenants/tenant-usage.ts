/** How many requests of a tenant were admitted and refused over about the last window. */

/** Requests. */
export interface UsageCounts {
  readonly admitted: number;
  /** The limit was reached. */
  readonly refused: number;
  /** Nobody could be asked. */
  readonly refusedWithoutOwner: number;
}

export const NOTHING_USED: UsageCounts = { admitted: 0, refused: 0, refusedWithoutOwner: 0 };

function sumOf(left: UsageCounts, right: UsageCounts): UsageCounts {
  return {
    admitted: left.admitted + right.admitted,
    refused: left.refused + right.refused,
    refusedWithoutOwner: left.refusedWithoutOwner + right.refusedWithoutOwner,
  };
}

/** See the module comment. Two halves are kept, of which the older one is dropped as a whole. */
export class TenantUsage {
  private current = NOTHING_USED;
  private before = NOTHING_USED;
  private begunAt = -Infinity;

  constructor(private readonly windowMs: number) {}

  note(counts: UsageCounts, now: number): void {
    this.turn(now);
    this.current = sumOf(this.current, counts);
  }

  read(now: number): UsageCounts {
    this.turn(now);
    return sumOf(this.before, this.current);
  }

  isEmpty(now: number): boolean {
    const { admitted, refused, refusedWithoutOwner } = this.read(now);
    return admitted === 0 && refused === 0 && refusedWithoutOwner === 0;
  }

  private turn(now: number): void {
    const halfMs = this.windowMs / 2;
    const age = now - this.begunAt;
    if (age < halfMs) return;
    this.before = age < this.windowMs ? this.current : NOTHING_USED;
    this.current = NOTHING_USED;
    this.begunAt = now;
  }
}
