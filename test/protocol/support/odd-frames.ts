/** Frames of internal protocols that are well formed and make no sense. */
import fc from 'fast-check';
import { AGGREGATION_CODEC } from '../../../src/aggregation/aggregation-messages.js';
import { ENROLMENT_CODEC } from '../../../src/control/enrolment-messages.js';
import { EXCHANGE_CODEC } from '../../../src/control-stream/exchange-messages.js';
import { STREAM_CODEC } from '../../../src/control-stream/stream-messages.js';
import { DIRECTORY_CODEC } from '../../../src/directory/directory-messages.js';
import type { ConnectionRole } from '../../../src/protocol/connection-role.js';
import { QUOTA_CODEC } from '../../../src/tenants/quota-messages.js';

/** Part of a codec that its type hides. */
interface CodecSchemas {
  readonly byKind: ReadonlyMap<
    string,
    { readonly type: { readonly fields: readonly SchemaField[] } }
  >;
}

interface SchemaField {
  readonly name: string;
  readonly type: { readonly typeName: string };
}

type Message = { readonly kind: string };
type Frames = fc.Arbitrary<Uint8Array[]>;

const MAXIMUM_FRAMES = 12;
/** The greatest number that the codec takes. */
const MAXIMUM_LONG = 2 ** 53 - 2;

const STRINGS = [
  ...['', 'x', '\0', '__proto__', ',', ':', '1:2', '127.0.0.1:1', 'a b:80'],
  ...['[]', '{}', 'null', '[0]', '[null]', '["shard-a"]', '["shard-a","shard-a"]'],
  ...['{"host":"desk.example"}', '{"\\u0000":"\\u0000"}', '{"__proto__":"x"}'],
  ...['GET', 'get it', '/q/1', 'no path', 'desk.example', 'gateway-1', 'replica', 'ready', 'gone'],
];

const VALUES: Readonly<Record<string, fc.Arbitrary<unknown>>> = {
  string: fc.oneof(fc.constantFrom(...STRINGS), fc.string({ maxLength: 8 })),
  long: fc.oneof(
    fc.constantFrom(0, 1, 2, -1, 2 ** 31, MAXIMUM_LONG, -MAXIMUM_LONG),
    fc.nat({ max: 5_000 }),
  ),
  int: fc.constantFrom(0, 1, 2, 3, -1, 2 ** 31 - 1, -(2 ** 31)),
  double: fc.oneof(
    fc.constantFrom(0, 1, 50, 200, -1, NaN, Infinity, -Infinity, 1e308, 2 ** 31, 2 ** 53, -0),
    fc.double(),
  ),
  boolean: fc.boolean(),
  bytes: fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
};

/** Messages of one protocol by kind. */
class OddMessages {
  private readonly kinds = new Map<string, fc.Arbitrary<Message>>();

  constructor(private readonly codec: { encodeBatch(messages: readonly never[]): Uint8Array }) {
    const { byKind } = codec as unknown as CodecSchemas;
    for (const [kind, { type }] of byKind) this.kinds.set(kind, this.createKind(kind, type.fields));
  }

  /** A frame of messages of these kinds, of any kind where a place is `*`. */
  frame(...kinds: readonly string[]): fc.Arbitrary<Uint8Array> {
    return fc
      .tuple(...kinds.map((kind) => this.messageOf(kind)))
      .map((messages) => this.codec.encodeBatch(messages as never[]));
  }

  private messageOf(kind: string): fc.Arbitrary<Message> {
    const known = this.kinds.get(kind);
    return known ?? fc.oneof(...this.kinds.values());
  }

  private createKind(kind: string, fields: readonly SchemaField[]): fc.Arbitrary<Message> {
    const values = fields.map(({ name, type }) => {
      const value = VALUES[type.typeName];
      if (value === undefined) throw new Error(`no values for a field of type ${type.typeName}`);
      return [name, value] as const;
    });
    return fc.record({ kind: fc.constant(kind), ...Object.fromEntries(values) });
  }
}

function several(...frames: readonly fc.Arbitrary<Uint8Array>[]): Frames {
  return fc.array(fc.oneof(...frames), { minLength: 1, maxLength: MAXIMUM_FRAMES });
}

function afterFirst(first: fc.Arbitrary<Uint8Array>, others: Frames): Frames {
  return fc.tuple(first, others).map(([begin, rest]) => [begin, ...rest]);
}

const aggregation = new OddMessages(AGGREGATION_CODEC);
const directory = new OddMessages(DIRECTORY_CODEC);
const stream = new OddMessages(STREAM_CODEC);
const exchange = new OddMessages(EXCHANGE_CODEC);
const quota = new OddMessages(QUOTA_CODEC);
const enrolment = new OddMessages(ENROLMENT_CODEC);

/** What a peer of each role sends; the first frames let most of the others be read. */
export const ODD_FRAMES: Readonly<Record<ConnectionRole, Frames>> = {
  aggregation: several(
    aggregation.frame('request', 'gather'),
    aggregation.frame('request', 'relay'),
    aggregation.frame('request', 'gather', 'sendTime'),
    aggregation.frame('*'),
  ),
  directory: afterFirst(directory.frame('subscribe'), several(directory.frame('*'))),
  subscriber: afterFirst(stream.frame('subscribe'), several(stream.frame('*'))),
  exchange: several(exchange.frame('*'), exchange.frame('*', '*', '*')),
  quota: several(quota.frame('round', '*', '*'), quota.frame('*')),
  enrolment: several(enrolment.frame('*')),
  consensus: several(fc.uint8Array({ maxLength: 60 })),
};
