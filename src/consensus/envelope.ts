/** Frames of the protocol: kind u8 | correlation u32 | message. */
import { EXCHANGES, type ExchangeName } from './messages.js';

/** Set in the kind of a response. */
const RESPONSE_FLAG = 0x80;
const HEADER_BYTES = 5;

/** One frame taken apart; the message is still encoded. */
export interface Envelope {
  readonly exchange: ExchangeName;
  readonly isResponse: boolean;
  /** Ties a response to its request on one connection. */
  readonly correlation: number;
  readonly body: Buffer;
}

const NAMES_BY_NUMBER: ReadonlyMap<number, ExchangeName> = new Map(
  (Object.keys(EXCHANGES) as ExchangeName[]).map((name) => [EXCHANGES[name].number, name]),
);

export function encodeEnvelope(envelope: Envelope): Buffer {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  const flag = envelope.isResponse ? RESPONSE_FLAG : 0;
  header.writeUInt8(EXCHANGES[envelope.exchange].number | flag, 0);
  header.writeUInt32BE(envelope.correlation, 1);
  return Buffer.concat([header, envelope.body]);
}

/** @throws RangeError when the frame is none of this protocol. */
export function decodeEnvelope(frame: Uint8Array): Envelope {
  const bytes = Buffer.from(frame.buffer, frame.byteOffset, frame.byteLength);
  if (bytes.length < HEADER_BYTES) throw new RangeError('frame shorter than its header');
  const kind = bytes.readUInt8(0);
  const exchange = NAMES_BY_NUMBER.get(kind & ~RESPONSE_FLAG);
  if (exchange === undefined) throw new RangeError(`unknown message kind ${kind}`);
  return {
    exchange,
    isResponse: (kind & RESPONSE_FLAG) !== 0,
    correlation: bytes.readUInt32BE(1),
    body: bytes.subarray(HEADER_BYTES),
  };
}
