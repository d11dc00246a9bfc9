/**
 * A line for each decision that touches a request, bounded: each kind of
 * decision has a budget of lines, and a line tells how many of its kind were
 * left out before it.
 */
import type { Clock } from '../seams/clock.js';
import type { LogFields, Logger } from './logger.js';

/** Lines of one kind that may be written at once... */
const BURST = 40;
/** ...and how many a second come to that. */
const LINES_A_SECOND = 8;

/** Lines left of one kind. */
interface LineBudget {
  lines: number;
  refilledAt: number;
  omitted: number;
}

/** Kinds of decisions; uneventful ones come last when lines are short. */
export enum DecisionKind {
  Answered = 'request answered',
  /** Whole, and after the time within which it is of full use. */
  Late = 'request answered late',
  Partial = 'request answered in part',
  Hedged = 'request answered after more than one sending',
  /** Shards that were asked for another gateway; some were missing or asked twice. */
  Gathered = 'shards gathered for another gateway',
  /** The same, where every shard answered its first attempt. */
  GatheredAtOnce = 'shards gathered for another gateway at once',
  Failed = 'request failed',
  Refused = 'request refused',
  NotForwarded = 'request not forwarded',
  NotRead = 'request not read',
  /** A replica may have ended under it; also when its answer was not wanted any more. */
  ConnectionLost = 'connection lost under a request',
  /** A request is suspected to end replicas, refused for it, or not any more. */
  QuarantineChanged = 'quarantine of a request changed',
  UnreadableReport = 'load report not understood',
}

/** Uneventful requests get this part of the lines that others get. */
const UNEVENTFUL_PART = 0.1;
const UNEVENTFUL_KINDS: ReadonlySet<DecisionKind> = new Set([
  DecisionKind.Answered,
  DecisionKind.GatheredAtOnce,
]);

/** See the module comment. */
export class DecisionLog {
  private readonly budgets = new Map<DecisionKind, LineBudget>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Writes the line when its kind has any left. `fields` is asked only then. */
  write(kind: DecisionKind, fields: () => LogFields): void {
    const part = UNEVENTFUL_KINDS.has(kind) ? UNEVENTFUL_PART : 1;
    const budget = this.refill(kind, part);
    if (budget.lines < 1) {
      budget.omitted += 1;
      return;
    }
    budget.lines -= 1;
    const { omitted } = budget;
    budget.omitted = 0;
    this.logger.info(kind, { ...fields(), ...(omitted === 0 ? {} : { omitted }) });
  }

  private refill(kind: DecisionKind, part: number): LineBudget {
    const now = this.clock.now();
    const known = this.budgets.get(kind);
    if (known === undefined) {
      const fresh = { lines: BURST * part, refilledAt: now, omitted: 0 };
      this.budgets.set(kind, fresh);
      return fresh;
    }
    const earned = ((now - known.refilledAt) / 1_000) * LINES_A_SECOND * part;
    known.lines = Math.min(known.lines + earned, Math.max(1, BURST * part));
    known.refilledAt = now;
    return known;
  }
}
