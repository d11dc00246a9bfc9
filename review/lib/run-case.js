/** Runs one case: 0 when the rule held, 1 when it was broken, 2 when the case couldn't run. */
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { Record } from './record.js';

/** Longest run of a case, its own ends included. Milliseconds. */
const LIMIT_MS = 115_000;

export async function runCase(path, create) {
  const record = new Record(path);
  const { fleet, play } = create(record);
  let exitCode = 2;
  const finish = async () => {
    await fleet.stop();
    record.note('exit', { exitCode });
    record.close();
    process.exit(exitCode);
  };
  process.once('SIGTERM', () => void finish());
  process.once('SIGINT', () => void finish());
  setTimeout(() => {
    exitCode = 2;
    process.stdout.write('the case took too long\n');
    void finish();
  }, LIMIT_MS);
  try {
    exitCode = await play();
  } catch (error) {
    process.stdout.write(`the case could not run: ${error.stack}\n`);
    exitCode = 2;
  }
  await finish();
}
