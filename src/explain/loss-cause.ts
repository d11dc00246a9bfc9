/** Why a request was not answered whole and in time, from the line about it. */
import { DecisionKind } from '../observability/decision-log.js';
import { factOf, type LoggedLine } from './log-line.js';

/** For so long after its start a gateway knows little of its replicas. Milliseconds. */
export const YOUNG_GATEWAY_MS = 3_000;
/** Attempts that a replica neither refused nor failed: it was slow, paused, silent or overloaded. */
const NO_ANSWER_YET: ReadonlySet<string> = new Set(['in flight', 'cancelled']);

/** Lines of requests that lost nothing. */
const WITHOUT_LOSS: ReadonlySet<string> = new Set([DecisionKind.Answered, DecisionKind.Hedged]);
/** Lines that don't say what became of a caller's request. */
const WITHOUT_OUTCOME: ReadonlySet<DecisionKind> = new Set([
  DecisionKind.Gathered,
  DecisionKind.GatheredAtOnce,
  DecisionKind.ConnectionLost,
  DecisionKind.QuarantineChanged,
  DecisionKind.UnreadableReport,
]);
/** The gateway that the caller reached says what became of the request. */
const DECISIONS: ReadonlySet<string> = new Set(
  Object.values(DecisionKind).filter((kind) => !WITHOUT_OUTCOME.has(kind)),
);

function resultsOf({ context }: LoggedLine): readonly string[] {
  const attempts = context['missingAttempts'] ?? context['attempts'];
  if (!Array.isArray(attempts)) return [];
  return attempts.map((attempt: { readonly result?: unknown }) => String(attempt.result));
}

/** What became of the attempts that brought no answer, the most frequent first. */
function describeAttempts(line: LoggedLine): string {
  const counts = new Map<string, number>();
  for (const result of resultsOf(line)) {
    const kind = NO_ANSWER_YET.has(result) ? 'no answer yet' : result;
    if (kind !== 'answered') counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  const [most] = [...counts].sort(([, left], [, right]) => right - left);
  return most?.[0] ?? 'not sent';
}

/**
 * Why an answer left after its target; undefined when it did not, or the line does not say. Parts are
 * late when not enough of them had arrived by the target.
 */
function describeLateness({ context }: LoggedLine): string | undefined {
  const { elapsedMs, targetMs, coveredMs } = context;
  if (typeof elapsedMs !== 'number' || typeof targetMs !== 'number') return undefined;
  if (elapsedMs <= targetMs || typeof coveredMs !== 'number') return undefined;
  return coveredMs > targetMs ? 'late parts' : 'late answer to parts in time';
}

/** Whether the line tells of a decision about a request. */
export function isDecision({ message }: LoggedLine): boolean {
  return DECISIONS.has(message);
}

/**
 * The cause in a few words; undefined when nothing was lost. `gatewayAgeMs` is
 * Infinity where the start of the gateway is not among the lines.
 */
export function lossCauseOf(line: LoggedLine, gatewayAgeMs: number): string | undefined {
  const { message } = line;
  if (!isDecision(line) || WITHOUT_LOSS.has(message)) return undefined;
  const age = gatewayAgeMs < YOUNG_GATEWAY_MS ? ', after a start' : '';
  const reason = factOf(line, 'reason');
  const lateness = describeLateness(line);
  switch (message) {
    case DecisionKind.Late.valueOf():
      return `${lateness ?? 'late'}${age}`;
    case DecisionKind.Partial.valueOf():
      return `${lateness === undefined ? '' : `${lateness}, `}parts missing: ${describeAttempts(line)}${age}`;
    default:
      return `${message.replace('request ', '')}: ${reason ?? factOf(line, 'status') ?? 'unknown'}${age}`;
  }
}
