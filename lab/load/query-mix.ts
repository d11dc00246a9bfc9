/** What a run of stand-in callers asks for. */
import * as z from 'zod';
import { nameSchema } from '../../src/model/service-definition.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import type { CallerRequest } from './caller.js';

/** Bytes of the part that makes each query differ from every other. */
const NONCE_BYTES = 12;

/** One kind of request and how often it is sent. */
export const queryKindSchema = z.strictObject({
  service: nameSchema.describe('kifu-audit'),
  /** Share of the requests in proportion to the sum of all weights. */
  weight: z.number().positive().default(1),
  /** Milliseconds. */
  deadlineMs: z.number().positive().default(1_000).describe('1000'),
  repeatable: z.boolean().default(true),
  /** Aims each request at one shard by a random key. */
  keyed: z.boolean().default(false),
  requiredCoverage: z.number().min(0).max(1).optional(),
  /** Texts that are asked for. */
  texts: z.array(z.string().min(1)).min(1).default(['snow relief']).describe('[snow relief]'),
});
export type QueryKind = z.infer<typeof queryKindSchema>;

/** Draws requests; the same seed gives the same requests. */
export class QueryMix {
  private readonly totalWeight: number;

  constructor(
    private readonly kinds: readonly QueryKind[],
    private readonly random: RandomSource,
  ) {
    this.totalWeight = kinds.reduce((sum, { weight }) => sum + weight, 0);
  }

  next(): CallerRequest {
    const kind = this.drawKind();
    const nonce = this.random.nextIdentifier(NONCE_BYTES);
    const text = kind.texts[this.random.nextInteger(0, kind.texts.length - 1)] ?? '';
    return {
      service: kind.service,
      request: {
        requestId: nonce,
        deadlineMs: kind.deadlineMs,
        repeatable: kind.repeatable,
        ...(kind.keyed ? { key: nonce } : {}),
        ...(kind.requiredCoverage === undefined ? {} : { requiredCoverage: kind.requiredCoverage }),
        query: { text, nonce },
      },
    };
  }

  private drawKind(): QueryKind {
    let rest = this.random.nextFloat() * this.totalWeight;
    for (const kind of this.kinds) {
      rest -= kind.weight;
      if (rest < 0) return kind;
    }
    const last = this.kinds.at(-1);
    if (last === undefined) throw new RangeError('a query mix needs at least one kind');
    return last;
  }
}
