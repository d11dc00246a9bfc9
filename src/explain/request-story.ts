/** What the lines of all daemons say of one request, in order. */
import { factOf, type LoggedLine } from './log-line.js';

/** What a process has learned is gone when the next one starts. */
const START_MESSAGE = 'gateway listening';
/** Lines by which a gateway's view of the fleet changed. */
const BELIEF_MESSAGES: ReadonlySet<string> = new Set([
  START_MESSAGE,
  'gateway stopping',
  'settings reloaded',
  'route document in force',
  'route document not understood',
  'controller lost',
  'controller regained',
]);
/** Lines of controllers about a replica. */
const REPLICA_MESSAGES: ReadonlySet<string> = new Set(['replica registered', 'replica left']);
/** Lines of gateways about a request under which replicas ended. */
const QUARANTINE_MESSAGES: ReadonlySet<string> = new Set([
  'quarantine of a request changed',
  'connection lost under a request',
]);
/** Facts that tell lines of one kind about different things apart. */
const SUBJECT_FACTS = ['controller', 'replicaId', 'fingerprint'] as const;
const ATTEMPT_LISTS = ['attempts', 'missingAttempts'] as const;

/** One attempt of the request, as the line about it shows it. */
export type StoryAttempt = Readonly<Record<string, unknown>>;

/** A line that tells what the gateway went by. */
export interface StoryBelief {
  /** Before the request's own line, by the writers' clocks. Milliseconds. */
  readonly beforeMs: number;
  readonly line: LoggedLine;
}

/** What became of the request at one gateway. */
export interface StoryChapter {
  readonly line: LoggedLine;
  readonly attempts: readonly StoryAttempt[];
  /** The newest of each kind before it, oldest first. */
  readonly beliefs: readonly StoryBelief[];
}

/** See the module comment. */
export interface RequestStory {
  readonly requestId: string;
  readonly chapters: readonly StoryChapter[];
  /** Lines that daemons left out, in all that was read: it may be among them. */
  readonly linesLeftOut: number;
}

function isObject(value: unknown): value is StoryAttempt {
  return typeof value === 'object' && value !== null;
}

function attemptsOf({ context }: LoggedLine): readonly StoryAttempt[] {
  return ATTEMPT_LISTS.flatMap((name) => {
    const list = context[name];
    return Array.isArray(list) ? list.filter(isObject) : [];
  });
}

/** Whether `line` tells what decided about the request of `own`. */
function isBelief(line: LoggedLine, own: LoggedLine, replicas: ReadonlySet<string>): boolean {
  if (line.time > own.time) return false;
  if (BELIEF_MESSAGES.has(line.message)) return line.context['gateway'] === own.context['gateway'];
  if (QUARANTINE_MESSAGES.has(line.message)) {
    const fingerprint = factOf(own, 'fingerprint');
    return fingerprint !== undefined && factOf(line, 'fingerprint') === fingerprint;
  }
  return REPLICA_MESSAGES.has(line.message) && replicas.has(factOf(line, 'replicaId') ?? '');
}

function subjectOf(line: LoggedLine): string {
  const kind = line.message.startsWith('controller ') ? 'controller' : line.message;
  return [kind, ...SUBJECT_FACTS.map((name) => factOf(line, name) ?? '')].join(' ');
}

function forgetEarlierProcess(newest: Map<string, LoggedLine>): void {
  for (const [subject, { message }] of newest) {
    if (BELIEF_MESSAGES.has(message)) newest.delete(subject);
  }
}

function beliefsOf(own: LoggedLine, lines: readonly LoggedLine[]): readonly StoryBelief[] {
  const replicas = new Set(attemptsOf(own).map(({ replicaId }) => String(replicaId)));
  const newest = new Map<string, LoggedLine>();
  for (const line of lines) {
    if (!isBelief(line, own, replicas)) continue;
    if (line.message === START_MESSAGE) forgetEarlierProcess(newest);
    newest.set(subjectOf(line), line);
  }
  return [...newest.values()]
    .sort((left, right) => left.time - right.time)
    .map((line) => ({ beforeMs: own.time - line.time, line }));
}

/** Tells the story of a request; without chapters when no line names it. */
export function tellRequest(requestId: string, read: readonly LoggedLine[]): RequestStory {
  const lines = [...read].sort((left, right) => left.time - right.time);
  const own = lines.filter((line) => line.context['requestId'] === requestId);
  const omitted = lines.map(({ context }) => Number(context['omitted'] ?? 0));
  return {
    requestId,
    chapters: own.map((line) => ({
      line,
      attempts: attemptsOf(line),
      beliefs: beliefsOf(line, lines),
    })),
    linesLeftOut: omitted.reduce((sum, count) => sum + count, 0),
  };
}
