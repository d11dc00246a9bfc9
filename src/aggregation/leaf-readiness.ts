/**
 * Lets the first requests of a gateway wait until its leaves are connected. Asking all
 * shards from here meanwhile would take a gateway with a part of a core half a second of
 * processor time for each request, and keep it from ever getting there.
 */
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';

/**
 * For so long after the start leaves are expected to be connected any moment, and up to as long
 * again: gateways that started together do not all connect to further leaves together. Milliseconds.
 */
export const YOUNG_MS = 3_000;

interface WaitingRequest {
  readonly shards: readonly string[];
  readonly resolve: () => void;
}

/** See the module comment. */
export class LeafReadiness {
  private readonly youngUntil: number;
  private readonly waiting = new Set<WaitingRequest>();

  constructor(
    private readonly clock: Clock,
    random: RandomSource,
    /** Whether enough leaves are connected for a request to the shards. */
    private readonly isReady: (shards: readonly string[]) => boolean,
  ) {
    this.youngUntil = clock.now() + YOUNG_MS * (1 + random.nextFloat());
  }

  /** Whether the gateway has just started. */
  get isYoung(): boolean {
    return this.clock.now() < this.youngUntil;
  }

  /** Resolves when the shards can be asked through leaves, or after `longestMs`. */
  wait(shards: readonly string[], longestMs: number): Promise<void> {
    if (longestMs <= 0 || !this.isYoung || this.isReady(shards)) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(longestMs, () => finish());
      const finish = (): void => {
        timer.cancel();
        this.waiting.delete(request);
        resolve();
      };
      const request = { shards, resolve: finish };
      this.waiting.add(request);
    });
  }

  /** Lets go of the requests that need not wait any more. */
  check(): void {
    for (const { shards, resolve } of [...this.waiting]) {
      if (!this.isYoung || this.isReady(shards)) resolve();
    }
  }
}
