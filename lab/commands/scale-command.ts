/** `driftway-lab scale`. */
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { SCALE_PARTS, SCALE_SIZES } from '../scale/scale-options.js';
import { formatScale } from '../scale/scale-report.js';
import { runScale } from '../scale/scale-run.js';

/** Measures what each role costs over the number of daemons, replicas, controllers and changes. */
export class ScaleCommand extends Command {
  static override paths = [['scale']];

  static override usage = Command.Usage({
    category: 'Measure',
    description: 'measure slopes of the control plane with hollow daemons and hollow replicas',
    details: `
      Starts real controllers and hollow daemons (the control-stream client of a
      router without its query work, a hundred to a process), reads bytes, CPU
      and memory at rest and under changes, and the time until a change is in
      force, at several sizes each; then a router's registry over hollow
      replicas. Prints a line with residuals for each quantity.

      \`--part\` runs one part alone and may be given more than once: growth,
      daemons, replicas, controllers, registry, expected. Uses loopback only and
      ends what it started.
    `,
    examples: [
      ['Measure everything', 'driftway-lab scale --json'],
      ['Repeat the series over daemons', 'driftway-lab scale --part daemons'],
      ['Few and short, for a first look', 'driftway-lab scale --size quick'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'print the whole record as JSON' });
  size = Option.String('--size', 'full', {
    description: 'full, quick (a first look) or tiny (only shows that it works)',
    validator: t.isEnum(['full', 'quick', 'tiny'] as const),
  });
  part = Option.Array('--part', [], {
    description: 'run this part alone; all parts when absent',
    validator: t.isArray(t.isEnum(SCALE_PARTS)),
  });

  async execute(): Promise<number> {
    const progress = (line: string): void => void this.context.stderr.write(`${line}\n`);
    const parts = new Set(this.part.length > 0 ? this.part : SCALE_PARTS);
    const record = await runScale(SCALE_SIZES[this.size], parts, progress);
    const text = this.json ? JSON.stringify(record, undefined, 2) : formatScale(record);
    this.context.stdout.write(`${text}\n`);
    return Object.keys(record.failures).length === 0 ? 0 : 1;
  }
}
