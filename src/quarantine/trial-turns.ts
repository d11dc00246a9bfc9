/**
 * Whose turn it is to try a suspected request: of all sendings of one request at a gateway,
 * one at a time, while the others wait for what becomes of it.
 */

/** One request that is being tried, and who waits. */
interface Turn {
  isTaken: boolean;
  readonly waiting: Set<() => void>;
}

/** See the module comment. */
export class TrialTurns {
  private readonly turns = new Map<string, Turn>();

  /** True when nobody else tries the request: the caller does, until {@link TrialTurns.end}. */
  take(fingerprint: string): boolean {
    const turn = this.turnOf(fingerprint);
    if (turn.isTaken) return false;
    turn.isTaken = true;
    return true;
  }

  /** Calls `callback` once, at the end of the trial or when more is known of the request. */
  wait(fingerprint: string, callback: () => void): void {
    this.turnOf(fingerprint).waiting.add(callback);
  }

  /** The callback is no longer wanted. */
  cancel(fingerprint: string, callback: () => void): void {
    const turn = this.turns.get(fingerprint);
    turn?.waiting.delete(callback);
    if (turn !== undefined && !turn.isTaken && turn.waiting.size === 0) {
      this.turns.delete(fingerprint);
    }
  }

  end(fingerprint: string): void {
    const turn = this.turns.get(fingerprint);
    if (turn !== undefined) turn.isTaken = false;
    this.wake(fingerprint);
  }

  /** More is known of the request: those that wait look again, in the order in which they came. */
  wake(fingerprint: string): void {
    const turn = this.turns.get(fingerprint);
    if (turn === undefined) return;
    const woken = [...turn.waiting];
    turn.waiting.clear();
    if (!turn.isTaken) this.turns.delete(fingerprint);
    for (const callback of woken) callback();
  }

  private turnOf(fingerprint: string): Turn {
    const known = this.turns.get(fingerprint);
    if (known !== undefined) return known;
    const turn = { isTaken: false, waiting: new Set<() => void>() };
    this.turns.set(fingerprint, turn);
    return turn;
  }
}
