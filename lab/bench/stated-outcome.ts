/** Outcomes that a trace states and the replay checks. */
import * as z from 'zod';
import type { BenchFigures, PeriodFigures, ServiceFigures } from './bench-figures.js';

/** Figures that an outcome can bound. */
export const outcomeFigureSchema = z.enum([
  'latencyP99',
  'latencyP99ToOracle',
  'coverageMean',
  'shareBelowRequired',
  'coverageToOracle',
  'answeredShare',
  'refusedShare',
  'goodputToCapacity',
  'extraAttempts',
]);
export type OutcomeFigure = z.infer<typeof outcomeFigureSchema>;

/** One bound on one figure under one policy set. */
export const outcomeSchema = z.strictObject({
  policy: z.string(),
  figure: outcomeFigureSchema,
  /** Of this service; of the whole run when absent. */
  service: z.string().optional(),
  /** Of this team's requests; not together with `service`. */
  team: z.string().optional(),
  /** Of requests scheduled in this phase; of all counted ones when absent. */
  phase: z.string().optional(),
  atLeast: z.number().optional(),
  atMost: z.number().optional(),
});
export type StatedOutcome = z.infer<typeof outcomeSchema>;

/** A stated outcome and what came out. */
export interface CheckedOutcome {
  readonly outcome: StatedOutcome;
  readonly value: number;
  readonly holds: boolean;
}

function valueOf(figure: OutcomeFigure, of: ServiceFigures): number {
  switch (figure) {
    case 'latencyP99':
      return of.latency.p99;
    case 'latencyP99ToOracle':
      return of.latency.p99 / of.oracle.latency.p99;
    case 'coverageMean':
      return of.coverage.mean;
    case 'shareBelowRequired':
      return of.coverage.shareBelowRequired;
    case 'coverageToOracle':
      return of.coverage.fullShare / of.oracle.fullShare;
    case 'answeredShare':
      return of.answered / of.requests;
    case 'refusedShare':
      return of.refused / of.requests;
    case 'goodputToCapacity':
      return of.goodputToCapacity;
    case 'extraAttempts':
      return of.extraLoad.attempts;
  }
}

/** Where the figure of an outcome stands. */
function figuresFor(outcome: StatedOutcome, run: BenchFigures): ServiceFigures {
  const { phase, service, team } = outcome;
  const period: PeriodFigures | undefined = phase === undefined ? run : run.phases[phase];
  const figures =
    team === undefined
      ? service === undefined
        ? period?.all
        : period?.services[service]
      : period?.teams[team];
  if (figures !== undefined) return figures;
  const named = [phase, service, team].filter((name) => name !== undefined);
  throw new RangeError(`the trace has no such phase, service or team: ${named.join(', ')}`);
}

/** Checks the outcomes stated for `policy`. */
export function checkOutcomes(
  outcomes: readonly StatedOutcome[],
  policy: string,
  run: BenchFigures,
): readonly CheckedOutcome[] {
  return outcomes
    .filter((outcome) => outcome.policy === policy)
    .map((outcome) => {
      const value = valueOf(outcome.figure, figuresFor(outcome, run));
      const { atLeast = -Infinity, atMost = Infinity } = outcome;
      return { outcome, value, holds: value >= atLeast && value <= atMost };
    });
}
