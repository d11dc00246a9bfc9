/** `driftway-lab bench`: replays a trace and measures latency, coverage and extra load. */
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import { parse } from 'yaml';
import { DriftwayError } from '../../src/errors/driftway-error.js';
import { settingsOverrideSchema } from '../../src/settings/service-settings.js';
import type { BenchFigures } from '../bench/bench-figures.js';
import { BenchRun } from '../bench/bench-run.js';
import { comparisonTable, type ComparedRun } from '../bench/comparison-table.js';
import { loadTrace } from '../bench/load-trace.js';
import { policySet } from '../bench/policy-sets.js';
import { checkOutcomes, type CheckedOutcome } from '../bench/stated-outcome.js';
import type { Trace } from '../bench/trace.js';

const EXIT_OUTCOME_MISSED = 1;
const EXIT_USAGE = 2;

/** See `driftway-lab bench --help`. */
export class BenchCommand extends Command {
  static override paths = [['bench']];

  static override usage = Command.Usage({
    description: 'Replay a trace under a policy set, in virtual time.',
    details: `
      Runs the shipped router against stand-in back ends on the simulator. The
      same trace, seed and policy set give the same bytes. Exit code 1 when an
      outcome stated in the trace for the policy set does not hold, or when the
      audit of callers and back ends finds a promise broken.
    `,
    examples: [
      [
        'Measure the simplest policies',
        '$0 bench --trace lab/traces/dohoku-steady.yaml --policy baseline',
      ],
      [
        'Compare two sets on the same replies',
        '$0 bench --trace lab/traces/dohoku-stragglers.yaml --compare baseline,tuned',
      ],
      [
        'Try one setting',
        '$0 bench --trace lab/traces/pnw-steady.yaml --policy tuned --set hedgeQuantile=0.9',
      ],
    ],
  });

  trace = Option.String('--trace', { required: true, description: 'Trace file (YAML).' });

  seed = Option.String('--seed', '1', {
    validator: typanion.isNumber(),
    description: 'Seed of arrivals, reply times and every draw.',
  });

  policy = Option.String('--policy', 'baseline', { description: 'Name of a policy set.' });

  compare = Option.String('--compare', {
    description: 'Policy sets to compare in one table, separated by commas.',
  });

  set = Option.Array('--set', [], { description: 'key=value over the policy set.' });

  json = Option.Boolean('--json', false, {
    description: 'Print one JSON object as the last line.',
  });

  async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (!(error instanceof DriftwayError) && !(error instanceof RangeError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      return EXIT_USAGE;
    }
  }

  private async run(): Promise<number> {
    const trace = await loadTrace(this.trace);
    const names = this.compare?.split(',') ?? [this.policy];
    const runs: ComparedRun[] = [];
    for (const policy of names) {
      runs.push({ policy, figures: await this.replay(trace, policy) });
    }
    this.context.stdout.write(`${trace.name}, seed ${this.seed}: ${trace.description}\n\n`);
    this.context.stdout.write(`${comparisonTable(runs)}\n`);
    const missed = runs.map((run) => this.printOutcomes(trace, run) + this.printViolations(run));
    if (this.json) this.printJson(runs);
    return missed.some((count) => count > 0) ? EXIT_OUTCOME_MISSED : 0;
  }

  private async replay(trace: Trace, policy: string): Promise<BenchFigures> {
    const policies = { ...policySet(policy), ...this.readSettings() };
    return new BenchRun({ trace, policies, seed: this.seed }).run();
  }

  private readSettings(): ReturnType<typeof settingsOverrideSchema.parse> {
    const pairs = this.set.map((text) => {
      const separator = text.indexOf('=');
      return [text.slice(0, separator), parse(text.slice(separator + 1)) as unknown];
    });
    const result = settingsOverrideSchema.safeParse(Object.fromEntries(pairs));
    if (result.success) return result.data;
    throw new RangeError(`--set: ${result.error.issues.map(({ message }) => message).join('; ')}`);
  }

  /** Returns how many outcomes do not hold. */
  private printOutcomes(trace: Trace, { policy, figures }: ComparedRun): number {
    const checked = checkOutcomes(trace.outcomes, policy, figures);
    for (const each of checked) this.context.stdout.write(`${describeOutcome(each)}\n`);
    return checked.filter(({ holds }) => !holds).length;
  }

  /** Returns how many violations the audit found. */
  private printViolations({ policy, figures }: ComparedRun): number {
    const found = Object.entries(figures.violations).filter(([, count]) => count > 0);
    for (const [kind, count] of found) {
      this.context.stdout.write(`VIOLATED ${policy}: ${kind} ${count} times\n`);
    }
    return found.reduce((sum, [, count]) => sum + count, 0);
  }

  private printJson(runs: readonly ComparedRun[]): void {
    const [first] = runs;
    const content =
      this.compare === undefined && first !== undefined
        ? { trace: this.trace, seed: this.seed, ...flatten(first) }
        : { trace: this.trace, seed: this.seed, runs: runs.map(flatten) };
    this.context.stdout.write(`${JSON.stringify(content)}\n`);
  }
}

/** The figures of all services together stand at the top of the object. */
function flatten({ policy, figures }: ComparedRun): object {
  const { all, services, phases, violations, digest } = figures;
  return { policy, ...all, violations, services, phases, digest };
}

function describeOutcome({ outcome, value, holds }: CheckedOutcome): string {
  const { policy, figure, service, team, phase, atLeast, atMost } = outcome;
  const where = [policy, service ?? team ?? 'all', phase]
    .filter((part) => part !== undefined)
    .join(' ');
  const bounds = [
    atLeast === undefined ? [] : [`at least ${atLeast}`],
    atMost === undefined ? [] : [`at most ${atMost}`],
  ].flat();
  return `${holds ? 'holds ' : 'MISSED'} ${where}: ${figure} ${value.toFixed(4)} (${bounds.join(', ')})`;
}
