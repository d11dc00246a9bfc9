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
  let isFinishing = false;
  const finish = async () => {
    if (isFinishing) return;
    isFinishing = true;
    await fleet.stop();
    record.note('exit', { exitCode });
    record.close();
    process.exit(exitCode);
  };
  process.once('SIGTERM', () => void finish());
  process.once('SIGINT', () => void finish());
  // Node's own code for such an error is 1, which says that the rule was broken.
  process.on('uncaughtException', (error) => {
    process.stdout.write(`the case failed: ${error.stack}\n`);
    exitCode = 2;
    void finish();
  });
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
