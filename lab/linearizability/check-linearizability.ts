/**
 * Checks that a history could have come from one register that serves one
 * operation at a time: that every operation can be given one moment between its
 * start and its end so that all answers fit. The search is that of Wing and
 * Gong, and remembers where it has been, as Lowe's does.
 */
import { stateAfter, type RegisterOperation, type RegisterState } from './register-operation.js';

/** Whether the history is linearizable, and where the search got stuck if not. */
export interface LinearizabilityVerdict {
  readonly linearizable: boolean;
  /** The most operations that could be put in an order. */
  readonly longestOrder: number;
  /** Operations of which none could come next there. */
  readonly stuckAt: readonly RegisterOperation[];
  /** False when the search was given up; `linearizable` is then false as well. */
  readonly complete: boolean;
}

/** Places of the search after which it is given up. */
const DEFAULT_MAXIMUM_STEPS = 1_000_000;

/** A place of the search: which operations have taken effect, and what that made. */
interface SearchNode {
  /** A bit for each operation, in order of start. */
  readonly done: bigint;
  readonly count: number;
  readonly state: RegisterState;
}

class Search {
  private readonly operations: readonly RegisterOperation[];
  private readonly visited = new Set<string>();
  /** Bits of the operations that were answered. */
  private readonly answered: bigint;
  private longestOrder = 0;
  private stuckAt: readonly RegisterOperation[] = [];

  constructor(history: readonly RegisterOperation[]) {
    this.operations = history
      // What was not run took no effect and told nothing.
      .filter(({ answer }) => answer.kind !== 'not_run')
      .toSorted((left, right) => left.startedAt - right.startedAt);
    this.answered = this.operations.reduce(
      (bits, { endedAt }, place) => (endedAt === Infinity ? bits : bits | (1n << BigInt(place))),
      0n,
    );
  }

  run(initial: RegisterState, maximumSteps: number): LinearizabilityVerdict {
    const stack: SearchNode[] = [{ done: 0n, count: 0, state: initial }];
    for (let steps = 0; steps < maximumSteps; steps += 1) {
      const node = stack.pop();
      if (node === undefined) return this.verdict(false, true);
      // What was never answered need never take effect.
      if ((node.done & this.answered) === this.answered) return this.verdict(true, true);
      stack.push(...this.followers(node));
    }
    return this.verdict(false, false);
  }

  /** Every place one operation further that was not visited yet. */
  private followers(node: SearchNode): SearchNode[] {
    const candidates = this.candidates(node.done);
    if (node.count >= this.longestOrder) {
      this.longestOrder = node.count;
      this.stuckAt = candidates.map((place) => this.operations[place] as RegisterOperation);
    }
    const followers: SearchNode[] = [];
    for (const place of candidates) {
      const state = stateAfter(node.state, this.operations[place] as RegisterOperation);
      if (state === undefined) continue;
      const done = node.done | (1n << BigInt(place));
      const key = `${done.toString(36)}/${state.revision}/${state.value}`;
      if (this.visited.has(key)) continue;
      this.visited.add(key);
      followers.push({ done, count: node.count + 1, state });
    }
    return followers;
  }

  /** Operations that may come next: those that began before any other one left ended. */
  private candidates(done: bigint): number[] {
    let earliestEnd = Infinity;
    const places: number[] = [];
    for (const [place, { startedAt, endedAt }] of this.operations.entries()) {
      if (startedAt > earliestEnd) break;
      if ((done & (1n << BigInt(place))) !== 0n) continue;
      earliestEnd = Math.min(earliestEnd, endedAt);
      places.push(place);
    }
    return places.filter(
      (place) => (this.operations[place] as RegisterOperation).startedAt <= earliestEnd,
    );
  }

  private verdict(linearizable: boolean, complete: boolean): LinearizabilityVerdict {
    const { longestOrder, stuckAt } = this;
    return { linearizable, longestOrder, stuckAt, complete };
  }
}

/** Checks one history against a register that began as `initial`. */
export function checkLinearizability(
  history: readonly RegisterOperation[],
  initial: RegisterState,
  maximumSteps = DEFAULT_MAXIMUM_STEPS,
): LinearizabilityVerdict {
  return new Search(history).run(initial, maximumSteps);
}
