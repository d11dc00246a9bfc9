/**
 * How long each replica works on each query: a pure function of the seed, the
 * query, the replica and the time, so that every policy set meets the same
 * reply times and the oracle can know them.
 */
import { xxh64 } from '@node-rs/xxhash';
import * as z from 'zod';

/** Log-normal working time of the usual reply. */
export const usualTimeSchema = z.strictObject({
  medianMs: z.number().positive(),
  /** Standard deviation of the logarithm. */
  sigma: z.number().min(0).max(2),
});
export type UsualTime = z.infer<typeof usualTimeSchema>;

/** Replies that take many times longer. */
export const stragglersSchema = z.strictObject({
  /** Share of all replies, 0 to 1. */
  share: z.number().min(0).max(1),
  minimumFactor: z.number().min(1),
  maximumFactor: z.number().min(1),
  /** They come from some replicas for this long, then from others. Milliseconds. */
  windowMs: z.number().positive(),
  /** Share of replicas they come from at a time, 0 to 1; 1 spreads them over all. */
  replicaShare: z.number().positive().max(1),
});
export type Stragglers = z.infer<typeof stragglersSchema>;

/** A replica that is slower for a time. */
export interface SlowPeriod {
  readonly replicaId: string;
  readonly from: number;
  readonly to: number;
  readonly factor: number;
}

/** One reply that may be asked for. */
export interface ReplyKey {
  readonly service: string;
  readonly shardId: string;
  readonly replicaId: string;
  readonly queryDigest: string;
}

/** What reply times depend on besides the reply. */
export interface ReplyTimeOptions {
  readonly seed: number;
  readonly usual: Readonly<Record<string, UsualTime>>;
  readonly stragglers: Stragglers | undefined;
  readonly slowPeriods: readonly SlowPeriod[];
}

const HALF_BITS = 32n;
const HALF_MASK = 0xffff_ffffn;
const HALF_RANGE = 2 ** 32;

/** Two independent numbers in [0, 1) that depend on the text and the salt only. */
function uniformPair(text: string, salt: bigint): readonly [number, number] {
  const hash = xxh64(text, salt);
  return [Number(hash & HALF_MASK) / HALF_RANGE, Number(hash >> HALF_BITS) / HALF_RANGE];
}

/** A standard normal deviate, by the Box-Muller transform. */
function normalDeviate([first, second]: readonly [number, number]): number {
  return Math.sqrt(-2 * Math.log(1 - first)) * Math.cos(2 * Math.PI * second);
}

/** Answers for one run. */
export class ReplyTimes {
  private readonly salt: bigint;
  private readonly slowPeriods = new Map<string, SlowPeriod[]>();

  constructor(private readonly options: ReplyTimeOptions) {
    this.salt = BigInt(options.seed) << 8n;
    for (const period of options.slowPeriods) {
      const known = this.slowPeriods.get(period.replicaId) ?? [];
      this.slowPeriods.set(period.replicaId, [...known, period]);
    }
  }

  /** Working time of a reply begun at `time`, both in milliseconds since the start of the run. */
  workingTime(key: ReplyKey, time: number): number {
    const usual = this.options.usual[key.service];
    if (usual === undefined) throw new RangeError(`the trace has no reply times of ${key.service}`);
    const text = `${key.queryDigest}/${key.shardId}/${key.replicaId}`;
    const deviate = normalDeviate(uniformPair(text, this.salt));
    const base = usual.medianMs * Math.exp(usual.sigma * deviate);
    return base * this.stragglerFactor(key, text, time) * this.slowFactor(key.replicaId, time);
  }

  private stragglerFactor(key: ReplyKey, text: string, time: number): number {
    const { stragglers } = this.options;
    if (stragglers === undefined) return 1;
    const { share, windowMs, replicaShare, minimumFactor, maximumFactor } = stragglers;
    const window = Math.floor(time / windowMs);
    const [replicaDraw] = uniformPair(`${key.replicaId}/${window}`, this.salt + 1n);
    if (replicaDraw >= replicaShare) return 1;
    const [draw, size] = uniformPair(text, this.salt + 2n);
    if (draw >= share / replicaShare) return 1;
    return minimumFactor + size * (maximumFactor - minimumFactor);
  }

  private slowFactor(replicaId: string, time: number): number {
    const periods = this.slowPeriods.get(replicaId) ?? [];
    const current = periods.find(({ from, to }) => time >= from && time < to);
    return current?.factor ?? 1;
  }
}
