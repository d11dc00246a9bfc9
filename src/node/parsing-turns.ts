/**
 * Shares the turns of the event loop among connections whose bytes are dear to parse. Each chunk of a body costs an
 * event, however small it is, so that a bound in bytes does not bound the time for which others wait.
 */

/** Chunks that are parsed in one turn of the event loop, of all connections together. */
const CHUNKS_PER_TURN = 1_000;
/** Of a chunk: one after its size, one after its data. */
const LINES_PER_CHUNK = 2;
const LINE_END = 0x0a;

/** Lines that end in `bytes`. */
export function countLines(bytes: Buffer): number {
  let lines = 0;
  for (let at = bytes.indexOf(LINE_END); at >= 0; at = bytes.indexOf(LINE_END, at + 1)) lines += 1;
  return lines;
}

/** For all connections of a listener. */
export class ParsingTurns {
  private chunksInTurn = 0;
  private nextTurn: NodeJS.Immediate | undefined;
  /** Those that wait for a turn, the longest first. */
  private readonly waiting = new Set<() => void>();

  /** Whether more chunks may be parsed in this turn. */
  get hasRoom(): boolean {
    return this.chunksInTurn < CHUNKS_PER_TURN;
  }

  /** Counts the chunks of a part of a body that is parsed now. */
  count(part: Buffer): void {
    this.chunksInTurn += countLines(part) / LINES_PER_CHUNK;
    this.nextTurn ??= setImmediate(() => this.beginTurn());
  }

  /** Calls `parse` in a later turn, after those that wait already. */
  wait(parse: () => void): void {
    this.waiting.add(parse);
    this.nextTurn ??= setImmediate(() => this.beginTurn());
  }

  /** Undoes {@link ParsingTurns.wait}. */
  cancel(parse: () => void): void {
    this.waiting.delete(parse);
  }

  private beginTurn(): void {
    this.nextTurn = undefined;
    this.chunksInTurn = 0;
    for (const parse of this.waiting) {
      if (!this.hasRoom) break;
      this.waiting.delete(parse);
      parse();
    }
    if (this.waiting.size > 0) this.nextTurn ??= setImmediate(() => this.beginTurn());
  }
}
