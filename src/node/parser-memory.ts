/**
 * Counts what a parser of responses holds of bytes that it has read and not handed on: each line of an
 * unfinished head or trailer is two objects on the heap, however short it is.
 */
import type { ByteSource } from './body-collector.js';

/** Memory of a parsed line of four bytes, for each of them. Bytes. */
const MEMORY_PER_BYTE = 64;
/** Parts of a status line, of a line or of a chunk's length that may be on their way. Bytes. */
const UNCOUNTED_BYTES = 512;
/** Line ends and separators, of a header line and of a chunk alike. Bytes. */
const FRAMING_BYTES = 4;
const BITS_PER_HEX_DIGIT = 4;

/** Of one response. */
export class ParserMemory {
  private heldBytes = 0;
  /** Bytes of which the parser holds nothing any more. */
  private handedOnBytes = UNCOUNTED_BYTES;

  constructor(
    private readonly source: ByteSource,
    /** Bytes received on the connection before the request was written. */
    private readonly startBytes: number,
  ) {}

  /** The parser handed a head on; `rawHeaders` are its names and values. */
  acceptHead(rawHeaders: readonly Buffer[]): void {
    for (const { length } of rawHeaders) this.handedOnBytes += length;
    this.handedOnBytes += (rawHeaders.length / 2) * FRAMING_BYTES + UNCOUNTED_BYTES;
  }

  /** The parser handed a part of a body on, which may be a chunk. */
  acceptPart(bytes: number): void {
    const digits = Math.ceil((32 - Math.clz32(bytes)) / BITS_PER_HEX_DIGIT);
    this.handedOnBytes += bytes + digits + FRAMING_BYTES;
  }

  /** Returns false if there is no room for what the parser holds after `readBytes` of the connection. */
  update(readBytes: number): boolean {
    const unfinishedBytes = readBytes - this.startBytes - this.handedOnBytes;
    const neededBytes = Math.max(0, unfinishedBytes) * MEMORY_PER_BYTE;
    const furtherBytes = neededBytes - this.heldBytes;
    if (furtherBytes > 0 && !this.source.take(furtherBytes)) return false;
    if (furtherBytes < 0) this.source.release(-furtherBytes);
    this.heldBytes = neededBytes;
    return true;
  }

  /** The parser is done with the response. */
  release(): void {
    this.source.release(this.heldBytes);
    this.heldBytes = 0;
  }
}
