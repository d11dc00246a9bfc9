/** What happened in one run, for people: faults, changes of state, changes accepted, violations. */
import { formatLogValue, type LogFields, type Logger } from '../../src/observability/logger.js';

/** One line. */
export interface TimelineEntry {
  /** Virtual milliseconds since the start. */
  readonly at: number;
  readonly text: string;
}

const MILLISECONDS_PER_SECOND = 1_000;
const TIME_WIDTH = 9;

function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatLogValue(value)}`)
    .join(' ');
}

/** Collects the lines of one run. */
export class Timeline {
  private readonly collected: TimelineEntry[] = [];

  constructor(private readonly now: () => number) {}

  get entries(): readonly TimelineEntry[] {
    return this.collected;
  }

  /** Notes something that happens now. */
  note(text: string): void {
    this.collected.push({ at: this.now(), text });
  }

  /** A daemon's logger whose lines become entries. */
  logger(process: string, inherited: LogFields = {}): Logger {
    const write = (message: string, fields: LogFields = {}): void => {
      this.note(`${process}: ${message} ${formatFields({ ...inherited, ...fields })}`.trimEnd());
    };
    return {
      info: write,
      warn: write,
      error: write,
      child: (fields) => this.logger(process, { ...inherited, ...fields }),
    };
  }
}

/** One line an entry, in order of time. */
export function formatTimeline(entries: readonly TimelineEntry[]): string {
  return entries
    .toSorted((left, right) => left.at - right.at)
    .map(({ at, text }) => {
      const seconds = (at / MILLISECONDS_PER_SECOND).toFixed(3).padStart(TIME_WIDTH);
      return `${seconds} s  ${text}`;
    })
    .join('\n');
}
