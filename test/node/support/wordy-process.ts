/** A process with more lines than a pipe holds. It exits when its standard input ends. */
import { createOutputLineWriter } from '../../../src/node/output-line-writer.js';

const LINE = 'x'.repeat(1_000);
const writer = createOutputLineWriter(process.stdout);
for (let count = 0; count < 200; count += 1) writer.write(LINE);
process.stderr.write('written\n');
process.stdin.resume();
process.stdin.once('end', () => {
  void writer.drain(200).then(() => process.exit());
});
