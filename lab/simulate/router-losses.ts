/** When routers were lost without a plan, which excuses connections cut off and requests unanswered. */
import type { UnplannedLoss } from '../auditor/audit-evidence.js';

/** All losses of a run. Wall-clock milliseconds. */
export class RouterLosses {
  private readonly ended: UnplannedLoss[] = [];
  private readonly open = new Map<string, number>();

  constructor(private readonly wallTime: () => number) {}

  begin(router: string): void {
    if (!this.open.has(router)) this.open.set(router, this.wallTime());
  }

  end(router: string): void {
    const from = this.open.get(router);
    if (from === undefined) return;
    this.open.delete(router);
    this.ended.push({ target: router, from, until: this.wallTime() });
  }

  all(): readonly UnplannedLoss[] {
    const until = Infinity;
    const open = [...this.open].map(([target, from]) => ({ target, from, until }));
    return [...this.ended, ...open];
  }
}
