/** How many requests of a tenant were admitted and refused over about the last window. */

/** Requests. */
export interface UsageCounts {
  readonly admitted: number;
  /** The limit was reached. */
  readonly refused: number;
  /** Nobody could be asked. */
  readonly refusedWithoutOwner: number;
}

/** The counts of a tenant that has sent nothing. */
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
  private previous = NOTHING_USED;
  private begunAt = -Infinity;

  constructor(private readonly windowMs: number) {}

  note(counts: UsageCounts, now: number): void {
    this.beginHalfIfDue(now);
    this.current = sumOf(this.current, counts);
  }

  read(now: number): UsageCounts {
    this.beginHalfIfDue(now);
    return sumOf(this.previous, this.current);
  }

  isEmpty(now: number): boolean {
    const { admitted, refused, refusedWithoutOwner } = this.read(now);
    return admitted === 0 && refused === 0 && refusedWithoutOwner === 0;
  }

  private beginHalfIfDue(now: number): void {
    const halfMs = this.windowMs / 2;
    const age = now - this.begunAt;
    if (age < halfMs) return;
    this.previous = age < this.windowMs ? this.current : NOTHING_USED;
    this.current = NOTHING_USED;
    this.begunAt = now;
  }
}
