/** Remembers plans for as long as what may be sent where does not change. */
import type { QueryPlan } from './query-plan.js';

/** Callers choose the coverage they ask for, so the number of different ones is bounded here. */
const MAXIMUM_PLANS = 64;

/** Plans by required coverage; undefined where no snapshot suffices. */
export class PlanCache {
  private generation = -1;
  private readonly plans = new Map<number, QueryPlan | undefined>();

  get size(): number {
    return this.plans.size;
  }

  /** The plan for `requiredCoverage`, chosen anew when `generation` has moved on. */
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
