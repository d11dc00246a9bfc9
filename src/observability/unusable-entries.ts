/**
 * Counts what other writers sent and what cannot be used, by where it came from and why, and
 * writes a line for some of it: an entry that names nothing to use must neither pass unseen nor
 * fill the log.
 */
import { Counter, type Registry } from 'prom-client';
import type { Clock } from '../seams/clock.js';
import type { LogFields, Logger } from './logger.js';

/** Where an entry came from. */
export enum EntrySource {
  Heartbeat = 'heartbeat',
  PlatformList = 'platform_list',
  DirectoryStream = 'directory_stream',
  StoredReplicas = 'stored_replicas',
}

/** Why an entry cannot be used. */
export enum UnusableReason {
  /** Bytes that are not of the form at all. */
  Unreadable = 'unreadable',
  /** A field is missing, of another type or out of its bounds. */
  BadField = 'bad_field',
  /** A state that this version does not know. */
  UnknownState = 'unknown_state',
  /** More entries than are kept. */
  TooMany = 'too_many',
}

/** A line about one source and reason is written at most this often. Milliseconds. */
const LINE_INTERVAL_MS = 5_000;

/** What lines were written of one source and reason. */
interface WrittenLines {
  lastAt: number;
  omitted: number;
}

/** What the counts go to. */
export interface UnusableEntriesParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: Registry;
}

/** See the module comment. One for each process. */
export class UnusableEntries {
  private readonly counter: Counter<'source' | 'reason'>;
  private readonly written = new Map<string, WrittenLines>();

  constructor(private readonly parts: UnusableEntriesParts) {
    this.counter = new Counter({
      name: 'driftway_unusable_entries_total',
      help: 'Entries of other writers that could not be used, by where they came from and why.',
      labelNames: ['source', 'reason'],
      registers: [parts.registry],
    });
  }

  /** `fields` say whose entry it was, as far as that is known; no long texts. */
  note(source: EntrySource, reason: UnusableReason, fields: LogFields = {}): void {
    this.counter.inc({ source, reason });
    const { clock, logger } = this.parts;
    const now = clock.now();
    const key = `${source} ${reason}`;
    const lines = this.written.get(key) ?? { lastAt: -Infinity, omitted: 0 };
    this.written.set(key, lines);
    if (now - lines.lastAt < LINE_INTERVAL_MS) {
      lines.omitted += 1;
      return;
    }
    const { omitted } = lines;
    lines.lastAt = now;
    lines.omitted = 0;
    logger.warn('entry not usable', { source, reason, ...fields, ...(omitted > 0 && { omitted }) });
  }
}
