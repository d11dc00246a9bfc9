/** How many requests of a tenant were admitted and refused over about the last window. */

/** Requests. */
export interface UsageCounts {
  readonly admitted: number;
  readonly refused: number;
}

const NOTHING: UsageCounts = { admitted: 0, refused: 0 };

/** See the module comment. Two halves are kept, of which the older one is dropped as a whole. */
export class TenantUsage {
  private current = NOTHING;
  private before = NOTHING;
  private begunAt = -Infinity;

  constructor(private readonly windowMs: number) {}

  note({ admitted, refused }: UsageCounts, now: number): void {
    this.turn(now);
    this.current = {
      admitted: this.current.admitted + admitted,
      refused: this.current.refused + refused,
    };
  }

  read(now: number): UsageCounts {
    this.turn(now);
    return {
      admitted: this.before.admitted + this.current.admitted,
      refused: this.before.refused + this.current.refused,
    };
  }

  isEmpty(now: number): boolean {
    const { admitted, refused } = this.read(now);
    return admitted === 0 && refused === 0;
  }

  private turn(now: number): void {
    const halfMs = this.windowMs / 2;
    const age = now - this.begunAt;
    if (age < halfMs) return;
    this.before = age < this.windowMs ? this.current : NOTHING;
    this.current = NOTHING;
    this.begunAt = now;
  }
}
