/**
 * When callers that were refused are told to come back: when room is expected, one after the other.
 * It answers bursts whose refused callers come back together and find the queues full again.
 */
import type { RandomSource } from '../seams/random-source.js';

/** Most of the time to its deadline that a caller is told to stay away. */
const MOST_PART_OF_REMAINING = 0.3;
/** Below this a caller gains nothing by waiting. Milliseconds. */
const LEAST_MS = 20;
const MAXIMUM_SERVICES = 10_000;

/** One refused request. Clock readings and milliseconds. */
export interface RefusedTurn {
  readonly service: string;
  readonly now: number;
  /** Until room for one request is expected. */
  readonly room: number;
  /** In which room for one more request comes about. */
  readonly interval: number;
  /** To the caller's deadline. */
  readonly remaining: number;
}

/** See the module comment. */
export class RetryTimes {
  /** Turn of the caller that was told last, by service. Clock reading. */
  private readonly lastTurns = new Map<string, number>();

  constructor(private readonly random: RandomSource) {}

  /** After how long the caller may come back. Milliseconds. */
  next({ service, now, room, interval, remaining }: RefusedTurn): number {
    const afterOthers = (this.lastTurns.get(service) ?? -Infinity) + interval;
    const turn = Math.max(now + room, afterOthers);
    if (this.lastTurns.size >= MAXIMUM_SERVICES) this.lastTurns.clear();
    const most = Math.max(LEAST_MS, remaining * MOST_PART_OF_REMAINING);
    // Nobody is told a turn beyond it, so that the turns do not run away from the callers.
    this.lastTurns.set(service, Math.min(turn, now + most));
    // Other gateways tell their callers the same: spread over as long again.
    const spread = (turn - now) * (1 + this.random.nextFloat());
    return Math.min(most, Math.max(LEAST_MS, spread));
  }
}
