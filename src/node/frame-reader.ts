/** Cuts a byte stream into frames, with at most one partial frame buffered. */
import { MAXIMUM_FRAME_BYTES } from '../seams/message-connection.js';

/** Bytes of the length that precedes each frame. */
export const FRAME_HEADER_BYTES = 4;

/** The peer announced a frame longer than any it may send. */
export class OversizedFrameError extends Error {}

/** Collects chunks and yields whole frames. */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  /**
   * Adds a chunk and returns the frames it completed.
   *
   * @throws OversizedFrameError when a frame is announced too long.
   */
  push(chunk: Buffer): Uint8Array[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const frames: Uint8Array[] = [];
    let offset = 0;
    while (this.buffered.length - offset >= FRAME_HEADER_BYTES) {
      const length = this.buffered.readUInt32BE(offset);
      if (length > MAXIMUM_FRAME_BYTES) throw new OversizedFrameError(`frame of ${length} bytes`);
      const end = offset + FRAME_HEADER_BYTES + length;
      if (this.buffered.length < end) break;
      frames.push(Buffer.from(this.buffered.subarray(offset + FRAME_HEADER_BYTES, end)));
      offset = end;
    }
    this.buffered = this.buffered.subarray(offset);
    return frames;
  }

  /** Whether the stream may end here. */
  get atFrameBoundary(): boolean {
    return this.buffered.length === 0;
  }
}
