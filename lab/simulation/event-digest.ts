/** Running hash over everything that happened in a simulation, in order. */
import { Xxh64 } from '@node-rs/xxhash';

const RECORD_BYTES = 24;
const BUFFERED_RECORDS = 2_048;
const DIGEST_DIGITS = 16;

/** Hashes one fixed-size record per event; equal digests mean equal histories. */
export class EventDigest {
  private readonly hash = new Xxh64();
  private readonly buffer = Buffer.alloc(RECORD_BYTES * BUFFERED_RECORDS);
  private offset = 0;

  /** Adds one event. Time in whole microseconds; `kind`, `machine` and `detail` unsigned 32-bit. */
  add(time: number, kind: number, machine: number, detail: number): void {
    const { buffer, offset } = this;
    buffer.writeDoubleLE(time, offset);
    buffer.writeUInt32LE(kind, offset + 8);
    buffer.writeUInt32LE(machine, offset + 12);
    buffer.writeDoubleLE(detail, offset + 16);
    this.offset = offset + RECORD_BYTES;
    if (this.offset === buffer.length) this.flush();
  }

  /** The digest so far, as 16 hexadecimal digits. */
  value(): string {
    this.flush();
    return this.hash.digest().toString(16).padStart(DIGEST_DIGITS, '0');
  }

  private flush(): void {
    if (this.offset === 0) return;
    this.hash.update(this.buffer.subarray(0, this.offset));
    this.offset = 0;
  }
}
