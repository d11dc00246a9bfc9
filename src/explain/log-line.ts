/** Lines of daemons' logs, read back from text that may hold anything else besides. */
import * as z from 'zod';

/** One line of a daemon's log. */
export interface LoggedLine {
  readonly message: string;
  /** Facts of the line, as they were written. */
  readonly context: Readonly<Record<string, unknown>>;
  /** The writer's time of day. Milliseconds since 1970. */
  readonly time: number;
}

const loggedLineSchema = z.object({
  message: z.string(),
  context: z.record(z.string(), z.unknown()),
  time: z.number(),
});

function parseLine(text: string): LoggedLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = loggedLineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** All log lines of a text; what precedes a line (a collector's prefix) and other text is skipped. */
export function readLogLines(text: string): readonly LoggedLine[] {
  return text.split('\n').flatMap((line) => parseLine(line) ?? []);
}

/** A fact of a line as text; undefined when it has none of that name. */
export function factOf({ context }: LoggedLine, name: string): string | undefined {
  const value = context[name];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;
}
