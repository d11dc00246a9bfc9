/**
 * Turns typed messages into frames and back. Each message is one tag byte and
 * an Avro record; a frame holds one or more messages.
 *
 * Schemas must not use Avro arrays or maps: their decoder allocates as many
 * items as the sender announces before it looks whether the bytes are there.
 * A list is sent as several messages in one frame instead, so that decoding
 * yields no more items than there are bytes in the frame, nor than {@link MAXIMUM_MESSAGES_PER_FRAME}.
 */
import avsc from 'avsc';
import { MalformedMessageError } from './malformed-message-error.js';

/** Bytes of the tag that precedes each record. */
const TAG_BYTES = 1;
/**
 * Limit of messages in a frame; the longest frames in use hold some ten thousand. A message may be one byte,
 * and takes a hundred times as much once it is read.
 */
export const MAXIMUM_MESSAGES_PER_FRAME = 65_536;

/** One field of a record. */
export interface MessageField {
  readonly name: string;
  readonly type: 'string' | 'long' | 'int' | 'double' | 'boolean' | 'bytes';
}

/** How one kind of message is written. */
export interface MessageSchema {
  /** Unique within the codec, 0 to 255; never given to another kind later. */
  readonly tag: number;
  readonly fields: readonly MessageField[];
}

interface CompiledSchema {
  readonly kind: string;
  readonly tag: number;
  readonly type: avsc.Type;
  /** Names of the fields that hold bytes. */
  readonly byteFields: readonly string[];
}

/** What avsc's partial decoder returns; a negative offset means that bytes were missing. */
interface PartialDecoding {
  readonly value: object;
  readonly offset: number;
}

/** The same bytes, not copied. */
function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Encodes and decodes the messages of one protocol; `M` is a union told apart by `kind`. */
export class MessageCodec<M extends { readonly kind: string }> {
  private readonly byKind = new Map<string, CompiledSchema>();
  private readonly byTag = new Map<number, CompiledSchema>();

  constructor(schemas: Readonly<Record<M['kind'], MessageSchema>>) {
    for (const [kind, schema] of Object.entries<MessageSchema>(schemas)) {
      const type = avsc.Type.forSchema({ type: 'record', name: kind, fields: [...schema.fields] });
      const byteFields = schema.fields
        .filter((field) => field.type === 'bytes')
        .map((field) => field.name);
      const compiled = { kind, tag: schema.tag, type, byteFields };
      if (this.byTag.has(schema.tag)) throw new RangeError(`tag ${schema.tag} is used twice`);
      this.byKind.set(kind, compiled);
      this.byTag.set(schema.tag, compiled);
    }
  }

  /** One message as one frame. */
  encode(message: M): Uint8Array {
    const schema = this.byKind.get(message.kind);
    if (schema === undefined) throw new RangeError(`no message is called ${message.kind}`);
    const record: Record<string, unknown> = { ...message };
    // avsc takes bytes as a Buffer only.
    for (const name of schema.byteFields) record[name] = asBuffer(record[name] as Uint8Array);
    return Buffer.concat([Buffer.from([schema.tag]), schema.type.toBuffer(record)]);
  }

  /** Several messages as one frame. */
  encodeBatch(messages: readonly M[]): Uint8Array {
    return Buffer.concat(messages.map((message) => this.encode(message)));
  }

  /**
   * All messages of a frame, at least one.
   *
   * @throws MalformedMessageError when any byte of it is not part of a known message, or it holds too many.
   */
  decodeBatch(frame: Uint8Array, peer: string): M[] {
    const buffer = asBuffer(frame);
    const messages: M[] = [];
    let position = 0;
    do {
      if (messages.length === MAXIMUM_MESSAGES_PER_FRAME) {
        throw this.malformed(peer, `more than ${MAXIMUM_MESSAGES_PER_FRAME} messages in a frame`);
      }
      const schema = this.byTag.get(buffer[position] ?? -1);
      if (schema === undefined) throw this.malformed(peer, 'unknown kind of message');
      const { value, offset } = this.decodeRecord(schema, buffer, position + TAG_BYTES, peer);
      messages.push({ ...value, kind: schema.kind } as M);
      position = offset;
    } while (position < buffer.length);
    return messages;
  }

  /**
   * The only message of a frame.
   *
   * @throws MalformedMessageError when it holds none, several or anything else.
   */
  decode(frame: Uint8Array, peer: string): M {
    const [message, ...others] = this.decodeBatch(frame, peer);
    if (message === undefined || others.length > 0) {
      throw this.malformed(peer, 'one message was expected');
    }
    return message;
  }

  /** Kind of the first message of a frame, `unknown` when it is none. */
  kindOf(frame: Uint8Array): string {
    return this.byTag.get(frame[0] ?? -1)?.kind ?? 'unknown';
  }

  private decodeRecord(
    schema: CompiledSchema,
    buffer: Buffer,
    position: number,
    peer: string,
  ): PartialDecoding {
    let decoding: PartialDecoding;
    try {
      decoding = schema.type.decode(buffer, position);
    } catch (error) {
      throw this.malformed(peer, `not a ${schema.kind} message`, error);
    }
    // A negative length inside the record would move the decoder backwards.
    const advanced = decoding.offset >= position && decoding.offset <= buffer.length;
    if (!advanced) throw this.malformed(peer, `a ${schema.kind} message is cut short`);
    return decoding;
  }

  private malformed(peer: string, message: string, cause?: unknown): MalformedMessageError {
    return new MalformedMessageError('decode message', peer, message, cause);
  }
}
