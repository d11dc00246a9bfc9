/**
 * Cuts a byte stream into frames. Memory for a frame grows with the bytes that have come, not with the
 * length that the peer announced.
 */
import { MAXIMUM_FRAME_BYTES } from '../seams/message-connection.js';

/** Bytes of the length that precedes each frame. */
export const FRAME_HEADER_BYTES = 4;

/** Memory that a frame takes at first, unless it is shorter; doubled whenever it is full. Bytes. */
const INITIAL_FRAME_BYTES = 64 * 1024;
const NO_BYTES: Buffer = Buffer.alloc(0);

/** The peer announced a frame longer than any it may send. */
export class OversizedFrameError extends Error {}

/** Collects chunks and yields whole frames. */
export class FrameReader {
  /** Longest frame that is accepted. Bytes. */
  maximumBytes = MAXIMUM_FRAME_BYTES;
  private readonly header = Buffer.alloc(FRAME_HEADER_BYTES);
  private headerFilled = 0;
  /** Undefined while the header is not whole. */
  private frame: Buffer | undefined;
  private frameLength = 0;
  private frameFilled = 0;
  /** Bytes that were added and not cut yet. */
  private rest = NO_BYTES;

  /**
   * Adds a chunk and returns the frames it completed, at most `maximumFrames`; {@link hasRest} tells
   * whether bytes are left for the next call.
   *
   * @throws OversizedFrameError when a frame is announced too long.
   */
  push(chunk: Buffer, maximumFrames = Infinity): Uint8Array[] {
    const bytes = this.restWith(chunk);
    const frames: Uint8Array[] = [];
    let offset = 0;
    while (offset < bytes.length && frames.length < maximumFrames) {
      offset += this.frame === undefined ? this.fillHeader(bytes, offset) : 0;
      if (this.frame === undefined) break;
      offset += this.fillFrame(this.frame, bytes, offset);
      if (this.frameFilled < this.frameLength) break;
      frames.push(this.frame);
      this.frame = undefined;
      this.headerFilled = 0;
    }
    this.rest = bytes.subarray(offset);
    return frames;
  }

  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /** Bytes in memory that belong to no frame returned so far. */
  get heldBytes(): number {
    return this.rest.length + (this.frame?.length ?? 0);
  }

  /** Forgets all bytes of frames that are not whole. */
  drop(): void {
    this.rest = NO_BYTES;
    this.frame = undefined;
    this.headerFilled = 0;
  }

  /** Whether the stream may end here. */
  get atFrameBoundary(): boolean {
    return this.headerFilled === 0 && !this.hasRest;
  }

  private restWith(chunk: Buffer): Buffer {
    if (!this.hasRest) return chunk;
    return chunk.length === 0 ? this.rest : Buffer.concat([this.rest, chunk]);
  }

  /** Takes bytes of the header from `chunk`; returns how many. */
  private fillHeader(chunk: Buffer, offset: number): number {
    const taken = chunk.copy(this.header, this.headerFilled, offset);
    this.headerFilled += taken;
    if (this.headerFilled === FRAME_HEADER_BYTES) this.beginFrame(this.header.readUInt32BE());
    return taken;
  }

  private beginFrame(length: number): void {
    if (length > this.maximumBytes) {
      throw new OversizedFrameError(
        `expected a frame of at most ${this.maximumBytes} bytes, received one of ${length}`,
      );
    }
    this.frame = Buffer.allocUnsafe(Math.min(length, INITIAL_FRAME_BYTES));
    this.frameLength = length;
    this.frameFilled = 0;
  }

  /** Takes bytes of the frame from `chunk`; returns how many. */
  private fillFrame(frame: Buffer, chunk: Buffer, offset: number): number {
    const taken = Math.min(chunk.length - offset, this.frameLength - this.frameFilled);
    this.frame = this.withRoom(frame, this.frameFilled + taken);
    chunk.copy(this.frame, this.frameFilled, offset, offset + taken);
    this.frameFilled += taken;
    return taken;
  }

  private withRoom(frame: Buffer, bytes: number): Buffer {
    if (bytes <= frame.length) return frame;
    const length = Math.min(this.frameLength, Math.max(bytes, 2 * frame.length));
    const grown = Buffer.allocUnsafe(length);
    frame.copy(grown, 0, 0, this.frameFilled);
    return grown;
  }
}
