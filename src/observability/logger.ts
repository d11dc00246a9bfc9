/** Structured log lines, written only for changes of state. */

/** A fact of a line, as a JSON value. */
export type LogValue = string | number | boolean | null | undefined | readonly LogFields[];

/** A fact as a person reads it. */
export function formatLogValue(value: LogValue): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Facts of a line. */
export interface LogFields {
  readonly [name: string]: LogValue;
}

/** Writes lines. Implemented over roarr, and by tests and the simulator over an array. */
export interface Logger {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** A logger whose lines all carry `fields`. */
  child(fields: LogFields): Logger;
}

/** Drops every line. */
export const SILENT_LOGGER: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  child: () => SILENT_LOGGER,
};
