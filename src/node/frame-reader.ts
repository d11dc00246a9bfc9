/** Cuts a byte stream into frames; each byte is copied once, however it is split. */
import { MAXIMUM_FRAME_BYTES } from '../seams/message-connection.js';

/** Bytes of the length that precedes each frame. */
export const FRAME_HEADER_BYTES = 4;

/** The peer announced a frame longer than any it may send. */
export class OversizedFrameError extends Error {}

/** Collects chunks and yields whole frames. */
export class FrameReader {
  /** Longest frame that is accepted. Bytes. */
  maximumBytes = MAXIMUM_FRAME_BYTES;
  private readonly header = Buffer.alloc(FRAME_HEADER_BYTES);
  private headerFilled = 0;
  /** Of the length that the header announced; undefined while the header is not whole. */
  private frame: Buffer | undefined;
  private frameFilled = 0;

  /**
   * Adds a chunk and returns the frames it completed.
   *
   * @throws OversizedFrameError when a frame is announced too long.
   */
  push(chunk: Buffer): Uint8Array[] {
    const frames: Uint8Array[] = [];
    let offset = 0;
    while (offset < chunk.length) {
      offset += this.frame === undefined ? this.fillHeader(chunk, offset) : 0;
      if (this.frame === undefined) break;
      offset += this.fillFrame(this.frame, chunk, offset);
      if (this.frameFilled < this.frame.length) break;
      frames.push(this.frame);
      this.frame = undefined;
      this.headerFilled = 0;
    }
    return frames;
  }

  /** Whether the stream may end here. */
  get atFrameBoundary(): boolean {
    return this.headerFilled === 0;
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
    this.frame = Buffer.allocUnsafe(length);
    this.frameFilled = 0;
  }

  /** Takes bytes of the frame from `chunk`; returns how many. */
  private fillFrame(frame: Buffer, chunk: Buffer, offset: number): number {
    const taken = chunk.copy(frame, this.frameFilled, offset);
    this.frameFilled += taken;
    return taken;
  }
}
