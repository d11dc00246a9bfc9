/** Bounds the memory that the reservations of all tenants take at a quota owner. */

/** Counts reservations up to a maximum. */
export class ReservationLimit {
  private current = 0;

  constructor(private readonly maximum: number) {}

  /** Number of reservations. */
  get count(): number {
    return this.current;
  }

  get isReached(): boolean {
    return this.current >= this.maximum;
  }

  recordAdded(): void {
    this.current += 1;
  }

  recordRemoved(): void {
    this.current -= 1;
  }
}
