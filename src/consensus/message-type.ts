/** Avro message types with typed values and bounds. */
import avsc from 'avsc';

const EMPTY_BUFFER = Buffer.alloc(0);

/** Avro types that messages are made of. */
type FieldType = 'boolean' | 'long' | 'double' | 'bytes' | 'string';

/** Longest string in a message, in UTF-16 units: identifiers, addresses and reasons. */
const MAXIMUM_STRING_LENGTH = 1_024;

/** The TypeScript type of a field. */
interface FieldValues {
  boolean: boolean;
  long: number;
  double: number;
  bytes: Uint8Array;
  string: string;
}

type Fields = Readonly<Record<string, FieldType>>;

/** The value that a field table describes. */
export type MessageOf<F extends Fields> = { readonly [K in keyof F]: FieldValues[F[K]] };

function withinBounds(value: unknown): boolean {
  if (typeof value === 'number') return Number.isFinite(value) && value >= 0;
  if (typeof value === 'string') return value.length <= MAXIMUM_STRING_LENGTH;
  return true;
}

/** A message type whose fields the caller has matched to the exchange already. */
export interface AnyMessageType {
  encode(message: unknown): Buffer;
  /** @throws RangeError when the bytes are not exactly one message within bounds. */
  decode(bytes: Buffer): unknown;
}

/** avsc takes bytes as Buffers only. */
function toAvroValue(value: unknown): unknown {
  if (!(value instanceof Uint8Array) || Buffer.isBuffer(value)) return value;
  return Buffer.from(value.buffer, value.byteOffset, value.byteLength);
}

/**
 * One record type. Fields are scalars, strings and bytes only: Avro arrays
 * would let a few bytes announce any number of elements.
 */
export class MessageType<F extends Fields> {
  private readonly type: avsc.Type;

  constructor(name: string, fields: F) {
    this.type = avsc.Type.forSchema({
      type: 'record',
      name,
      fields: Object.entries(fields).map(([fieldName, type]) => ({ name: fieldName, type })),
    });
  }

  encode(message: MessageOf<F>): Buffer {
    const fields = Object.entries(message).map(([name, value]) => [name, toAvroValue(value)]);
    return this.type.toBuffer(Object.fromEntries(fields));
  }

  /** @throws RangeError when the bytes are not exactly one message within bounds. */
  decode(bytes: Buffer): MessageOf<F> {
    const { message, end } = this.decodeAt(bytes, 0);
    if (end !== bytes.length) throw new RangeError('bytes after the message');
    return message;
  }

  /** Reads the message that begins at `offset`. */
  decodeAt(bytes: Buffer, offset: number): { message: MessageOf<F>; end: number } {
    const decoded = this.type.decode(bytes, offset);
    if (decoded.offset < 0) throw new RangeError('truncated message');
    const message = decoded.value as MessageOf<F>;
    if (!Object.values(message).every(withinBounds)) throw new RangeError('field out of bounds');
    return { message, end: decoded.offset };
  }

  /** Reads messages that follow each other, at most `maximumCount`. */
  decodeAll(bytes: Buffer, maximumCount: number): MessageOf<F>[] {
    const messages: MessageOf<F>[] = [];
    let offset = 0;
    while (offset < bytes.length) {
      if (messages.length === maximumCount) throw new RangeError('too many elements');
      const { message, end } = this.decodeAt(bytes, offset);
      messages.push(message);
      offset = end;
    }
    return messages;
  }

  /** Writes messages one after another. */
  encodeAll(messages: readonly MessageOf<F>[]): Buffer {
    if (messages.length === 0) return EMPTY_BUFFER;
    return Buffer.concat(messages.map((message) => this.encode(message)));
  }
}
