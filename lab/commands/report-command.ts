/** `driftway-lab report`: replays a trace under policy sets and writes a page of charts. */
import { writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import { DriftwayError } from '../../src/errors/driftway-error.js';
import { BenchRun } from '../bench/bench-run.js';
import type { ComparedRun } from '../bench/comparison-table.js';
import { loadTrace } from '../bench/load-trace.js';
import { policySet } from '../bench/policy-sets.js';

const EXIT_USAGE = 2;

/** See `driftway-lab report --help`. */
export class ReportCommand extends Command {
  static override paths = [['report']];

  static override usage = Command.Usage({
    description: 'Replay a trace under policy sets and write a page of charts.',
    details: `
      Latency curves with the oracle's, coverage against latency, and load over
      time, as one HTML file that needs no network.
    `,
    examples: [
      [
        'Compare two sets under overload',
        '$0 report --trace lab/traces/dohoku-overload.yaml --compare bounded,tuned --out report.html',
      ],
    ],
  });

  trace = Option.String('--trace', { required: true, description: 'Trace file (YAML).' });

  seed = Option.String('--seed', '1', {
    validator: typanion.isNumber(),
    description: 'Seed of arrivals, reply times and every draw.',
  });

  compare = Option.String('--compare', 'baseline,tuned', {
    description: 'Policy sets, separated by commas.',
  });

  out = Option.String('--out', { required: true, description: 'File to write.' });

  async execute(): Promise<number> {
    try {
      await this.write();
      return 0;
    } catch (error) {
      if (!(error instanceof DriftwayError) && !(error instanceof RangeError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      return EXIT_USAGE;
    }
  }

  private async write(): Promise<void> {
    // Loaded here, since no other command draws.
    const { reportPage } = await import('../report/report-page.js');
    const trace = await loadTrace(this.trace);
    const runs: ComparedRun[] = [];
    for (const policy of this.compare.split(',')) {
      const policies = policySet(policy);
      const figures = await new BenchRun({ trace, policies, seed: this.seed }).run();
      runs.push({ policy, figures });
    }
    const { name, description } = trace;
    const page = await reportPage({ trace: name, description, seed: this.seed }, runs);
    await writeFile(this.out, page);
    this.context.stdout.write(`wrote ${this.out}\n`);
  }
}
