/** Writes what was sent, run and answered to `record.txt` of a case, one JSON object a line. */
import { openSync, writeSync, closeSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** The record of one run; times are milliseconds since its start. */
export class Record {
  constructor(path) {
    this.file = openSync(path, 'w');
    /** Every request that a replica has begun work on. */
    this.runs = [];
  }

  now() {
    return performance.now();
  }

  note(what, fields = {}) {
    const line = JSON.stringify({ at: Math.round(this.now()), what, ...fields });
    writeSync(this.file, `${line}\n`);
  }

  close() {
    closeSync(this.file);
  }
}
