import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  FRAME_HEADER_BYTES,
  FrameReader,
  OversizedFrameError,
} from '../../src/node/frame-reader.js';

function encode(frame: Uint8Array): Buffer {
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUInt32BE(frame.length);
  return Buffer.concat([header, frame]);
}

/** Cuts `bytes` at these places. */
function split(bytes: Buffer, places: readonly number[]): Buffer[] {
  const cuts = [...new Set(places.map((place) => place % (bytes.length + 1)))];
  const ends = [...cuts.sort((left, right) => left - right), bytes.length];
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

describe('FrameReader', () => {
  it('gives the same frames however their bytes are split, and tells where one ends', () => {
    const frames = fc.array(fc.uint8Array({ maxLength: 20 }), { maxLength: 6 });
    const places = fc.array(fc.nat({ max: 200 }), { maxLength: 12 });
    fc.assert(
      fc.property(frames, places, (sent, cuts) => {
        const reader = new FrameReader();
        const bytes = Buffer.concat(sent.map(encode));
        const received = split(bytes, cuts).flatMap((chunk) => reader.push(chunk));
        expect(received.map((frame) => [...frame])).toEqual(sent.map((frame) => [...frame]));
        expect(reader.atFrameBoundary).toBe(true);
      }),
    );
  });

  it('is not at a boundary within a frame or its header', () => {
    for (const bytes of [encode(Buffer.from('abc')), encode(Buffer.alloc(0))]) {
      for (let length = 1; length < bytes.length; length += 1) {
        const reader = new FrameReader();
        reader.push(bytes.subarray(0, length));
        expect(reader.atFrameBoundary).toBe(false);
      }
    }
  });

  it('refuses a frame that is announced longer than it may be', () => {
    const reader = new FrameReader();
    reader.maximumBytes = 2;
    expect(reader.push(encode(Buffer.from('ab')))).toHaveLength(1);
    expect(() => reader.push(encode(Buffer.from('abc')))).toThrow(OversizedFrameError);
  });
});
