import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { compressFrame, expandFrame } from '../../src/protocol/compressed-frame.js';
import { MalformedMessageError } from '../../src/protocol/malformed-message-error.js';
import { MAXIMUM_FRAME_BYTES } from '../../src/seams/message-connection.js';

/** As many frames are: the same words again and again. */
const LONG = Buffer.from('\u0029replica shard-17 zone north '.repeat(400));

describe('a compressed frame', () => {
  it('is much shorter, and expands to what it was', () => {
    const compressed = compressFrame(LONG);
    expect(compressed.length).toBeLessThan(LONG.length / 5);
    expect(Buffer.from(expandFrame(compressed, 'peer'))).toEqual(LONG);
  });

  it('is not made of a short frame, nor of one that does not get shorter', () => {
    const short = LONG.subarray(0, 100);
    expect(compressFrame(short)).toBe(short);
    const [random = new Uint8Array()] = fc.sample(
      fc.uint8Array({ minLength: 4_000, maxLength: 4_000, min: 1 }),
      { seed: 5, numRuns: 1 },
    );
    expect(Buffer.from(expandFrame(compressFrame(random), 'peer'))).toEqual(Buffer.from(random));
  });

  it('that is cut or no such thing throws the error of malformed messages', () => {
    const compressed = compressFrame(LONG);
    for (const bad of [compressed.subarray(0, compressed.length / 2), Uint8Array.of(0, 255, 255)]) {
      expect(() => expandFrame(bad, 'peer')).toThrow(MalformedMessageError);
    }
  });

  it('expands to no more than the longest frame', () => {
    const bomb = compressFrame(Buffer.alloc(MAXIMUM_FRAME_BYTES + 1, 1));
    expect(() => expandFrame(bomb, 'peer')).toThrow(MalformedMessageError);
  });
});
