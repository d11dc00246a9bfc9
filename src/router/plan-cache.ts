/** Caches query plans until the replicas, their states or the snapshots they hold change. */
import type { QueryPlan } from './query-plan.js';

/** Callers choose the required coverage, so the number of cached plans needs a bound. */
const MAXIMUM_PLANS = 64;

/** Plans keyed by required coverage; a cached undefined says that no snapshot reaches it. */
export class PlanCache {
  private generation = -1;
  private readonly plans = new Map<number, QueryPlan | undefined>();

  get size(): number {
    return this.plans.size;
  }

  /** The plan for `requiredCoverage`; calls `choose` when none of this `generation` is cached. */
  get(
    generation: number,
    requiredCoverage: number,
    choose: () => QueryPlan | undefined,
  ): QueryPlan | undefined {
    if (this.generation !== generation || this.plans.size > MAXIMUM_PLANS) {
      this.plans.clear();
      this.generation = generation;
    }
    if (!this.plans.has(requiredCoverage)) this.plans.set(requiredCoverage, choose());
    return this.plans.get(requiredCoverage);
  }
}
