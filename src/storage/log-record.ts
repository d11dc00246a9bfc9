/**
 * The record of the durable log and its bytes:
 *
 *     magic u32 | payload length u32 | checksum u32 | index u64 | term u64 |
 *     synced offset u32 | kind u8 | payload
 *
 * The checksum is xxh32 over all that follows it, seeded with the payload
 * length. The synced offset is how much of this segment was already durable
 * when the record was written: it tells a torn tail from damage, because a
 * valid record whose synced offset lies beyond a bad one proves that the bad
 * one had been durable.
 */
import { xxh32 } from '@node-rs/xxhash';

/** What a record holds. The numbers are on disk and on the wire. */
export enum LogRecordKind {
  /** First record of a segment; its index and term are those of the record before it. */
  SegmentStart = 0,
  /** Empty record with which a leader opens its term. */
  Noop = 1,
  /** A command for the state machine. */
  Command = 2,
  /** The members of the group from this record on. */
  Membership = 3,
}

/** One record of the log. */
export interface LogRecord {
  readonly index: number;
  readonly term: number;
  readonly kind: LogRecordKind;
  readonly payload: Uint8Array;
}

/** A record read from a segment. */
export interface StoredRecord {
  readonly record: LogRecord;
  /** Durable bytes of the segment at the time the record was written. */
  readonly syncedOffset: number;
  /** Offset of the byte after the record. */
  readonly end: number;
}

export const RECORD_MAGIC = Buffer.from('DWR1');
/** Longest payload that is written, and that is believed when read; above the longest command. Bytes. */
const MAXIMUM_PAYLOAD_BYTES = 4 * 1024 * 1024;

const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;
const INDEX_OFFSET = 12;
const TERM_OFFSET = 20;
const SYNCED_OFFSET = 28;
const KIND_OFFSET = 32;
/** Bytes before the payload. */
export const RECORD_HEADER_BYTES = 33;

/** The bytes of one record. */
export function encodeRecord(record: LogRecord, syncedOffset: number): Buffer {
  const { payload } = record;
  if (payload.length > MAXIMUM_PAYLOAD_BYTES) {
    throw new RangeError(`record payload of ${payload.length} bytes`);
  }
  const bytes = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  RECORD_MAGIC.copy(bytes, 0);
  bytes.writeUInt32BE(payload.length, LENGTH_OFFSET);
  bytes.writeBigUInt64BE(BigInt(record.index), INDEX_OFFSET);
  bytes.writeBigUInt64BE(BigInt(record.term), TERM_OFFSET);
  bytes.writeUInt32BE(syncedOffset, SYNCED_OFFSET);
  bytes.writeUInt8(record.kind, KIND_OFFSET);
  bytes.set(payload, RECORD_HEADER_BYTES);
  bytes.writeUInt32BE(xxh32(bytes.subarray(INDEX_OFFSET), payload.length), CHECKSUM_OFFSET);
  return bytes;
}

/** The record at `offset`, or undefined when the bytes there are not a whole valid one. */
export function decodeRecord(bytes: Buffer, offset: number): StoredRecord | undefined {
  if (bytes.length - offset < RECORD_HEADER_BYTES) return undefined;
  if (RECORD_MAGIC.compare(bytes, offset, offset + RECORD_MAGIC.length) !== 0) return undefined;
  const payloadLength = bytes.readUInt32BE(offset + LENGTH_OFFSET);
  const end = offset + RECORD_HEADER_BYTES + payloadLength;
  if (payloadLength > MAXIMUM_PAYLOAD_BYTES || end > bytes.length) return undefined;
  const checksum = xxh32(bytes.subarray(offset + INDEX_OFFSET, end), payloadLength);
  if (checksum !== bytes.readUInt32BE(offset + CHECKSUM_OFFSET)) return undefined;
  const kind = bytes.readUInt8(offset + KIND_OFFSET);
  if (!(kind in LogRecordKind)) return undefined;
  const record: LogRecord = {
    index: Number(bytes.readBigUInt64BE(offset + INDEX_OFFSET)),
    term: Number(bytes.readBigUInt64BE(offset + TERM_OFFSET)),
    kind,
    payload: Buffer.from(bytes.subarray(offset + RECORD_HEADER_BYTES, end)),
  };
  return { record, syncedOffset: bytes.readUInt32BE(offset + SYNCED_OFFSET), end };
}
