/** Writes what was sent, answered and run into `record.txt` of a case, and ends it with its result. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout } from 'node:timers';
import { now } from './stand-ins.js';

export class Record {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.startedAt = now();
    this.lines = [];
  }

  note(text, at = now()) {
    this.lines.push({ at, text });
  }

  /** Notes a line that is printed as well. */
  say(text) {
    this.note(text);
    globalThis.console.log(text);
  }

  write() {
    const lines = this.lines
      .sort((left, right) => left.at - right.at)
      .map(
        ({ at, text }) => `${((at - this.startedAt) / 1_000).toFixed(3).padStart(8)} s  ${text}`,
      );
    writeFileSync(this.file, `${lines.join('\n')}\n`);
  }
}

/** Whether the case causes its disruption. */
export const HAS_TROUBLE = process.env['TROUBLE'] !== '0';

/** Exit codes of a case. */
export const EXIT = { held: 0, broken: 1, notRun: 2 };

const TIME_LIMIT_MS = 115_000;

/** Ends a case that was interrupted, met an unexpected error or takes too long; its processes end with it. */
function endWhenInterrupted(record) {
  const end = (reason) => {
    record.say(`the case could not run: ${reason}`);
    record.write();
    process.exit(EXIT.notRun);
  };
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => end(signal));
  process.once('uncaughtException', (error) => end(error.stack ?? error));
  setTimeout(() => end('it takes too long'), TIME_LIMIT_MS).unref();
}

/** Runs a case: `play(record)` resolves with whether the rule was broken, or throws when it could not run. */
export async function runCase(folder, play, close) {
  const record = new Record(folder);
  endWhenInterrupted(record);
  let exitCode;
  try {
    const isBroken = await play(record);
    record.say(isBroken ? 'the rule was broken' : 'the rule held');
    exitCode = isBroken ? EXIT.broken : EXIT.held;
  } catch (error) {
    record.say(`the case could not run: ${error.stack ?? error}`);
    exitCode = EXIT.notRun;
  }
  await close();
  record.write();
  process.exit(exitCode);
}
