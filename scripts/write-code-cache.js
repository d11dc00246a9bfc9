/**
 * Writes the compiled code of the bundle beside it, after what a start and the
 * first requests run was compiled. Run it with the flags of Node that the daemons
 * are run with: code that was compiled with others is not used.
 */
import { closeSync, openSync, writeFileSync } from 'node:fs';
import console from 'node:console';
import process from 'node:process';
import { setTimeout } from 'node:timers/promises';
import startBundle from '../target/driftway/main.cjs';
import { warmUpDaemons } from './warm-up-daemons.js';

/** A warm-up that takes longer is left; it takes three seconds. Milliseconds. */
const LONGEST_WARM_UP_MS = 60_000;

const { bundle, script } = startBundle.loadBundle();
const sink = openSync('/dev/null', 'w');
const roles = await bundle.loadRoles();
// Without it the daemons do the same, and are a little slower at first.
const statuses = await Promise.race([
  warmUpDaemons(roles, sink).catch((error) => [String(error)]),
  setTimeout(LONGEST_WARM_UP_MS, ['took too long']),
]);
console.error(`warm-up: ${statuses.join(', ')}`);
writeFileSync(startBundle.CODE_CACHE, script.createCachedData());
closeSync(sink);
process.exit();
