/**
 * Starts the bundle that lies beside this file. Uses its compiled code when
 * `write-code-cache.js` wrote it with the same version and flags of Node;
 * otherwise Node compiles the bundle, which takes longer and does the same.
 */
// Without a handler SIGHUP ends the process, and settings may change while it loads.
if (require.main === module) process.on('SIGHUP', () => undefined);

const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const BUNDLE = join(__dirname, 'daemon.cjs');
const CODE_CACHE = join(__dirname, 'daemon.cache');

/** Runs the bundle and gives its exports and the script that it came from. */
function loadBundle() {
  const wrapped = `(function (exports, require, module) {${readFileSync(BUNDLE, 'utf8')}\n})`;
  const cachedData = existsSync(CODE_CACHE) ? readFileSync(CODE_CACHE) : undefined;
  const script = new Script(wrapped, { filename: BUNDLE, cachedData });
  const bundle = { exports: {} };
  script.runInThisContext()(bundle.exports, require, bundle);
  return { bundle: bundle.exports, script };
}

if (require.main === module) loadBundle().bundle.runOnPlatform();
else module.exports = { loadBundle, CODE_CACHE };
