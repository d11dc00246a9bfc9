/**
 * The outcomes of the last commands by change id, so that a resend gets the
 * first answer. Part of the replicated state. A resend after its entry has left
 * the window is still never applied twice: its base revision is then old, so
 * it ends in a conflict.
 */
import type { ChangeOutcome } from './change-outcome.js';

/** Outcomes kept. At 2,000 changes a day this is two days. */
export const OUTCOME_WINDOW = 4_096;

/** One kept outcome. */
export interface OutcomeEntry {
  readonly changeId: string;
  /** SHA-256 of the command's content, hexadecimal. */
  readonly digest: string;
  readonly outcome: ChangeOutcome;
}

/** Bounded, oldest entry dropped first. */
export class OutcomeWindow {
  /** In the order of first use, which a Map keeps. */
  private entries = new Map<string, OutcomeEntry>();

  constructor(private readonly capacity: number) {}

  find(changeId: string): OutcomeEntry | undefined {
    return this.entries.get(changeId);
  }

  add(entry: OutcomeEntry): void {
    this.entries.set(entry.changeId, entry);
    if (this.entries.size <= this.capacity) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  /** Oldest first. */
  all(): OutcomeEntry[] {
    return [...this.entries.values()];
  }

  replace(entries: readonly OutcomeEntry[]): void {
    this.entries = new Map(entries.map((entry) => [entry.changeId, entry]));
  }
}
