/** How many requests lost something, by route and cause, from the lines of gateways. */
import { factOf, type LoggedLine } from './log-line.js';
import { isDecision, lossCauseOf } from './loss-cause.js';

const START_MESSAGE = 'gateway listening';

/** Requests of one route that lost something for one reason. */
export interface LossRow {
  readonly cause: string;
  /** Empty for what was refused before a route was known. */
  readonly route: string;
  readonly requests: number;
  /** Shards that their answers lack, all together. */
  readonly missingShards: number;
  /** First and last such line. Milliseconds since 1970. */
  readonly firstAt: number;
  readonly lastAt: number;
}

/** See the module comment. */
export interface LossReport {
  /** The most frequent first. */
  readonly rows: readonly LossRow[];
  /** Lines about requests that were read. */
  readonly decisions: number;
  /** Lines about requests that gateways left out; their requests are in no row. */
  readonly linesLeftOut: number;
}

class LossTally {
  private readonly rows = new Map<string, LossRow>();

  add(line: LoggedLine, cause: string): void {
    const route = factOf(line, 'route') ?? '';
    const key = `${route} ${cause}`;
    const { time } = line;
    const known = this.rows.get(key);
    this.rows.set(key, {
      cause,
      route,
      requests: (known?.requests ?? 0) + 1,
      missingShards: (known?.missingShards ?? 0) + Number(factOf(line, 'missing') ?? 0),
      firstAt: known?.firstAt ?? time,
      lastAt: time,
    });
  }

  sorted(): readonly LossRow[] {
    return [...this.rows.values()].sort((left, right) => right.requests - left.requests);
  }
}

/** Counts the losses that the lines tell of. */
export function reportLosses(read: readonly LoggedLine[]): LossReport {
  const lines = [...read].sort((left, right) => left.time - right.time);
  const tally = new LossTally();
  const startedAt = new Map<string, number>();
  let decisions = 0;
  let linesLeftOut = 0;
  for (const line of lines) {
    const gateway = factOf(line, 'gateway') ?? '';
    if (line.message === START_MESSAGE) startedAt.set(gateway, line.time);
    if (!isDecision(line)) continue;
    decisions += 1;
    linesLeftOut += Number(factOf(line, 'omitted') ?? 0);
    const cause = lossCauseOf(line, line.time - (startedAt.get(gateway) ?? -Infinity));
    if (cause !== undefined) tally.add(line, cause);
  }
  return { rows: tally.sorted(), decisions, linesLeftOut };
}
