/** A bound on bytes held in memory by many holders together. */

/** Why something was given up for want of room. */
export type GivenUpReason =
  /** It held the most. */
  | 'largest'
  /** It was the one to be given up itself, or nothing that could be given up would have made room. */
  | 'no_room'
  /** Its caller took it the slowest. */
  | 'untaken';

/** Counts what is held. */
export class ByteBudget {
  /** What was given up so far, by reason. */
  readonly givenUp = new Map<GivenUpReason, number>();
  private held = 0;

  /** `limit` in bytes. What is held counts against `parent`, too. */
  constructor(
    readonly limit: number,
    private readonly parent?: ByteBudget,
  ) {}

  /** Bytes held now. */
  get heldBytes(): number {
    return this.held;
  }

  /** Whether the limit would be kept with `bytes` more. */
  hasRoomFor(bytes: number): boolean {
    return this.held + bytes <= this.limit && (this.parent?.hasRoomFor(bytes) ?? true);
  }

  /** Bytes that would have to be released before `bytes` more fit; 0 or less when they do. */
  shortfall(bytes: number): number {
    return Math.max(this.held + bytes - this.limit, this.parent?.shortfall(bytes) ?? -Infinity);
  }

  /** Takes `bytes` unless the limit would be passed; says whether it did. */
  take(bytes: number): boolean {
    if (!this.hasRoomFor(bytes)) return false;
    this.add(bytes);
    return true;
  }

  /** Counts bytes that are in memory already, limit or not. */
  add(bytes: number): void {
    this.held += bytes;
    this.parent?.add(bytes);
  }

  countGivenUp(reason: GivenUpReason): void {
    this.givenUp.set(reason, (this.givenUp.get(reason) ?? 0) + 1);
    this.parent?.countGivenUp(reason);
  }

  release(bytes: number): void {
    this.held -= bytes;
    this.parent?.release(bytes);
  }
}
