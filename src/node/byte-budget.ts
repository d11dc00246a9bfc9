/** A bound on bytes held in memory by many holders together. */

/** Counts what is held. */
export class ByteBudget {
  private held = 0;

  /** `limit` in bytes. */
  constructor(readonly limit: number) {}

  /** Bytes held now. */
  get heldBytes(): number {
    return this.held;
  }

  /** Takes `bytes` unless the limit would be passed; says whether it did. */
  take(bytes: number): boolean {
    if (this.held + bytes > this.limit) return false;
    this.held += bytes;
    return true;
  }

  /** Counts bytes that are in memory already, limit or not. */
  add(bytes: number): void {
    this.held += bytes;
  }

  release(bytes: number): void {
    this.held -= bytes;
  }
}
