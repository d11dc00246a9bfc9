/** Records of the log as they travel between members. */
import { LogRecordKind, type LogRecord } from '../storage/log-record.js';
import { Membership } from './membership.js';
import { MessageType } from './message-type.js';

/** Most records in one message. */
const MAXIMUM_RECORDS = 65_536;

const recordType = new MessageType('LogRecord', { term: 'long', kind: 'long', payload: 'bytes' });

/** Encodes consecutive records; their indexes follow from the message. */
export function encodeRecords(records: readonly LogRecord[]): Buffer {
  return recordType.encodeAll(records.map(({ term, kind, payload }) => ({ term, kind, payload })));
}

/** @throws RangeError when the bytes are no records that a log may hold. */
export function decodeRecords(bytes: Uint8Array, previousIndex: number): LogRecord[] {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return recordType.decodeAll(buffer, MAXIMUM_RECORDS).map(({ term, kind, payload }, place) => {
    if (!(kind in LogRecordKind) || kind === Number(LogRecordKind.SegmentStart)) {
      throw new RangeError(`unknown kind of record ${kind}`);
    }
    if (kind === Number(LogRecordKind.Membership)) Membership.decode(payload);
    return { index: previousIndex + 1 + place, term, kind, payload };
  });
}
