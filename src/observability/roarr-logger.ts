/** The production logger: roarr messages as JSON lines, or readable lines on a terminal. */
import './enable-roarr.js';
import { Roarr, type Logger as RoarrInstance, type MessageContext } from 'roarr';
import { ROARR } from 'roarr';
import { formatLogValue, type LogFields, type LogValue, type Logger } from './logger.js';

/** One roarr message as it reaches the writer. */
interface RoarrMessage {
  readonly context: Readonly<Record<string, unknown>>;
  readonly message: string;
  readonly time: number;
}

const LEVEL_NAMES: ReadonlyMap<unknown, string> = new Map([
  [30, 'info'],
  [40, 'warn'],
  [50, 'error'],
]);

function formatPretty(line: string): string {
  const { context, message, time } = JSON.parse(line) as RoarrMessage;
  const { logLevel, ...fields } = context;
  const facts = Object.entries(fields)
    .map(([name, value]) => `${name}=${formatLogValue(value as LogValue)}`)
    .join(' ');
  const level = (LEVEL_NAMES.get(logLevel) ?? 'info').padEnd(5);
  return `${new Date(time).toISOString()} ${level} ${message} ${facts}`.trimEnd();
}

class RoarrLogger implements Logger {
  constructor(private readonly roarr: RoarrInstance) {}

  info(message: string, fields: LogFields = {}): void {
    this.roarr.info(fields as MessageContext, message);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.roarr.warn(fields as MessageContext, message);
  }

  error(message: string, fields: LogFields = {}): void {
    this.roarr.error(fields as MessageContext, message);
  }

  child(fields: LogFields): Logger {
    return new RoarrLogger(this.roarr.child(fields as MessageContext));
  }
}

/** Makes the process's logger; `write` gets one finished line at a time. */
export function createRoarrLogger(pretty: boolean, write: (line: string) => void): Logger {
  ROARR.write = (line: string) => write(pretty ? formatPretty(line) : line);
  return new RoarrLogger(Roarr);
}
