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
export const NO_USAGE: UsageCounts = { admitted: 0, refused: 0, refusedWithoutOwner: 0 };

function addCounts(left: UsageCounts, right: UsageCounts): UsageCounts {
  return {
    admitted: left.admitted + right.admitted,
    refused: left.refused + right.refused,
    refusedWithoutOwner: left.refusedWithoutOwner + right.refusedWithoutOwner,
  };
}

/** See the module comment. Two halves are kept, of which the older one is dropped as a whole. */
export class TenantUsage {
  private current = NO_USAGE;
  private previous = NO_USAGE;
  private currentStartedAt = -Infinity;

  constructor(private readonly windowMs: number) {}

  record(counts: UsageCounts, now: number): void {
    this.rotateIfDue(now);
    this.current = addCounts(this.current, counts);
  }

  read(now: number): UsageCounts {
    this.rotateIfDue(now);
    return addCounts(this.previous, this.current);
  }

  isEmpty(now: number): boolean {
    const { admitted, refused, refusedWithoutOwner } = this.read(now);
    return admitted === 0 && refused === 0 && refusedWithoutOwner === 0;
  }

  private rotateIfDue(now: number): void {
    const halfMs = this.windowMs / 2;
    const ageMs = now - this.currentStartedAt;
    if (ageMs < halfMs) return;
    this.previous = ageMs < this.windowMs ? this.current : NO_USAGE;
    this.current = NO_USAGE;
    this.currentStartedAt = now;
  }
}
