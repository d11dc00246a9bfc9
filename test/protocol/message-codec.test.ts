import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EXCHANGE_CODEC } from '../../src/control-stream/exchange-messages.js';
import { STREAM_CODEC } from '../../src/control-stream/stream-messages.js';
import { MalformedMessageError } from '../../src/protocol/malformed-message-error.js';
import { MAXIMUM_MESSAGES_PER_FRAME } from '../../src/protocol/message-codec.js';

const REPORT = { kind: 'report', sequence: 7, revision: 42 } as const;
const GOODBYE = { kind: 'goodbye', reason: 'stopping' } as const;

describe('MessageCodec', () => {
  it('gives back what it encoded, one message or several a frame', () => {
    const frame = STREAM_CODEC.encodeBatch([REPORT, GOODBYE]);
    expect(STREAM_CODEC.decodeBatch(frame, 'peer')).toEqual([REPORT, GOODBYE]);
  });

  it('turns away frames that are empty, unknown or cut at any byte', () => {
    const frame = STREAM_CODEC.encode(GOODBYE);
    const bad: Uint8Array[] = [new Uint8Array(), Uint8Array.of(255)];
    for (let length = 1; length < frame.length; length += 1) bad.push(frame.subarray(0, length));
    for (const bytes of bad) {
      expect(() => STREAM_CODEC.decodeBatch(bytes, 'peer')).toThrow(MalformedMessageError);
    }
  });

  // Guards against a frame of 4 MiB whose messages are one byte each: the objects use up the heap.
  it('turns away a frame of too many messages', () => {
    const [tag = 0] = EXCHANGE_CODEC.encode({ kind: 'keepAlive' });
    const frame = new Uint8Array(MAXIMUM_MESSAGES_PER_FRAME + 1).fill(tag);
    expect(EXCHANGE_CODEC.decodeBatch(frame.subarray(1), 'peer')).toHaveLength(
      MAXIMUM_MESSAGES_PER_FRAME,
    );
    expect(() => EXCHANGE_CODEC.decodeBatch(frame, 'peer')).toThrow(MalformedMessageError);
  });

  it('turns away a length that would move the decoder backwards', () => {
    // Tag of goodbye, then a string length of -2 in zigzag form.
    const bytes = Uint8Array.of(19, 3);
    expect(() => STREAM_CODEC.decodeBatch(bytes, 'peer')).toThrow(MalformedMessageError);
  });

  it('yields no more than the frame holds and throws nothing but its own error', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        try {
          expect(STREAM_CODEC.decodeBatch(bytes, 'peer').length).toBeLessThanOrEqual(bytes.length);
        } catch (error) {
          expect(error).toBeInstanceOf(MalformedMessageError);
        }
      }),
      { seed: 4, numRuns: 2_000 },
    );
  });
});
