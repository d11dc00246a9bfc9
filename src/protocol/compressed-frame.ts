/**
 * Frames that are compressed where that pays: long ones between zones. The load that it answers:
 * each new stream between zones begins with all replicas and routes, which repeat the same names.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { MAXIMUM_FRAME_BYTES } from '../seams/message-connection.js';
import { MalformedMessageError } from './malformed-message-error.js';

/** Version of the protocol since which compressed frames are understood. */
export const COMPRESSION_SINCE_VERSION = 2;
/** First byte of a compressed frame; no kind of message has it as its tag. */
const COMPRESSED_TAG = 0;
const TAG_BYTES = 1;
/** Shorter frames are not compressed: what is saved is less than it costs. Bytes. */
const LEAST_BYTES = 1_024;
/** The fastest level: streams begin all at once when a fleet starts. */
const COMPRESSION_LEVEL = 1;

/** The frame, compressed when that makes it shorter. */
export function compressFrame(frame: Uint8Array): Uint8Array {
  if (frame.length < LEAST_BYTES) return frame;
  const body = deflateRawSync(frame, { level: COMPRESSION_LEVEL });
  if (body.length + TAG_BYTES >= frame.length) return frame;
  return Buffer.concat([Buffer.from([COMPRESSED_TAG]), body]);
}

/** Whether the frame is one that {@link compressFrame} has compressed. */
export function isCompressed(frame: Uint8Array): boolean {
  return frame[0] === COMPRESSED_TAG;
}

/**
 * The frame as it was before {@link compressFrame}.
 *
 * @throws MalformedMessageError when it cannot be expanded, or to more than the longest frame.
 */
export function expandFrame(frame: Uint8Array, peer: string): Uint8Array {
  if (!isCompressed(frame)) return frame;
  try {
    return inflateRawSync(frame.subarray(TAG_BYTES), { maxOutputLength: MAXIMUM_FRAME_BYTES });
  } catch (error) {
    throw new MalformedMessageError('expand frame', peer, 'not a compressed frame', error);
  }
}
