/**
 * Writes the compiled code of the bundle beside it, after what a start runs was
 * compiled. Run it with the flags of Node that the daemons are run with: code
 * that was compiled with others is not used.
 */
import { writeFileSync } from 'node:fs';
import startBundle from '../target/driftway/main.cjs';

const { bundle, script } = startBundle.loadBundle();
await bundle.loadRoles();
writeFileSync(startBundle.CODE_CACHE, script.createCachedData());
