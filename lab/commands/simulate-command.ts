/** `driftway-lab simulate`: a whole fleet in virtual time under random, seeded faults. */
import { availableParallelism } from 'node:os';
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import type { DeploymentName } from '../bench/deployment.js';
import { parseBrokenRule } from '../simulate/broken-rules.js';
import { FAULT_KINDS, parseFaultKinds } from '../simulate/fault-kinds.js';
import { parseSeedRange, seedsOf, summarise } from '../simulate/seed-batch.js';
import { formatFailure, formatSeedLine } from '../simulate/seed-report.js';
import { runSeeds } from '../simulate/seed-pool.js';
import { hasFailed, type SeedResult } from '../simulate/seed-result.js';
import { shrinkSeed } from '../simulate/shrink-seed.js';
import { DEFAULT_SIMULATE_OPTIONS, type SimulateOptions } from '../simulate/simulate-options.js';
import { UsageCheckedCommand } from './usage-checked-command.js';

const EXIT_FAILED = 1;
const DEPLOYMENT_NAMES: readonly DeploymentName[] = ['dohoku', 'pnw'];

/** See `driftway-lab simulate --help`. */
export class SimulateCommand extends UsageCheckedCommand {
  static override paths = [['simulate']];

  static override usage = Command.Usage({
    category: 'Simulate',
    description: 'Break a whole fleet in virtual time, and audit all promises.',
    details: `
      Runs, in one process and in virtual time, the shipped daemons unchanged: three controllers
      as one group, two routers, stand-in back ends and the platform's list, with callers and
      with operators that race and resend, under a schedule of faults drawn from the seed. The
      same seed and options give the same events and the same digest.

      After each seed the eight promises are audited from what callers, back ends and operators
      saw, and the fleet must come back by itself: a leader stands, every daemon is at the last
      revision, and queries are answered in full. Exits with 1 when anything of that fails, and
      prints the command that replays the seed, with a timeline.

      Faults: ${FAULT_KINDS.map((kind) => `\`${kind}\``).join(', ')}, or \`none\`. What each
      does and how the deployments are scaled down is in docs/design/simulation.md.
    `,
    examples: [
      [
        'A hundred seeds of one minute each',
        '$0 simulate --deployment dohoku --seeds 1..100 --faults cuts,crashes,disks --minutes 1',
      ],
      ['All kinds, and one JSON object as the last line', '$0 simulate --seeds 1..20 --json'],
      [
        'Replay seed 7 with two of its faults only',
        '$0 simulate --seeds 7 --faults cuts,drains --only 3,12',
      ],
    ],
  });

  deployment = Option.String('--deployment', 'dohoku', {
    validator: typanion.isEnum(DEPLOYMENT_NAMES),
    description: 'dohoku or pnw, scaled down.',
  });

  seeds = Option.String('--seeds', '1..10', { description: 'First and last seed, as A..B.' });

  faults = Option.String('--faults', FAULT_KINDS.join(','), {
    description: 'Kinds of faults, separated by commas; none for a calm run. All when absent.',
  });

  minutes = Option.String('--minutes', '1', {
    validator: typanion.isNumber(),
    description: 'Virtual minutes in which faults strike.',
  });

  rate = Option.String('--rate', String(DEFAULT_SIMULATE_OPTIONS.rate), {
    validator: typanion.isNumber(),
    description: 'Requests a second over both routers.',
  });

  only = Option.String('--only', {
    description:
      'Numbers of the scheduled faults that strike; the others are left out; none for none.',
  });

  break = Option.String('--break', {
    description: 'Breaks one rule of the daemons, to see that the audit finds it.',
  });

  workers = Option.String('--workers', String(availableParallelism()), {
    validator: typanion.cascade(typanion.isNumber(), [typanion.isInteger(), typanion.isAtLeast(1)]),
    description: 'Threads that run seeds; the digest does not depend on it. All cores when absent.',
  });

  shrink = Option.Boolean('--shrink', false, {
    description: 'Search the fewest faults with which the first failing seed still fails.',
  });

  timeline = Option.Boolean('--timeline', false, {
    description: 'Print the timeline of every seed, also of those that pass.',
  });

  json = Option.Boolean('--json', false, {
    description: 'Print one JSON object as the last line.',
  });

  protected override async run(): Promise<number> {
    const options = this.readOptions();
    const seeds = seedsOf(parseSeedRange(this.seeds));
    const results: SeedResult[] = [];
    await runSeeds(seeds, options, this.workers, (result) => {
      this.print(result, options, !results.some(hasFailed));
      results.push(result);
    });
    const firstFailure = results.find(hasFailed);
    if (this.shrink && firstFailure !== undefined) await this.printShrunk(firstFailure, options);
    const summary = summarise(results);
    if (this.json) this.context.stdout.write(`${JSON.stringify(summary)}\n`);
    return summary.failingSeeds.length > 0 ? EXIT_FAILED : 0;
  }

  /** @throws RangeError naming what is wrong. */
  private readOptions(): SimulateOptions {
    const { deployment, minutes, rate } = this;
    if (minutes <= 0) throw new RangeError('--minutes must be above 0');
    if (rate <= 0) throw new RangeError('--rate must be above 0');
    const faults = parseFaultKinds(this.faults);
    const only = this.only === 'none' ? [] : this.only?.split(',').map(Number);
    if (only?.some((number) => !Number.isInteger(number)) === true) {
      throw new RangeError(`--only "${this.only ?? ''}" is no list of numbers, such as 3,12`);
    }
    const options = { ...DEFAULT_SIMULATE_OPTIONS, deployment, faults, minutes, rate };
    return {
      ...options,
      ...(only === undefined ? {} : { only }),
      ...(this.break === undefined ? {} : { broken: parseBrokenRule(this.break) }),
    };
  }

  private async printShrunk(failure: SeedResult, options: SimulateOptions): Promise<void> {
    const { stdout } = this.context;
    const { result, options: fewest, runs, minimal } = await shrinkSeed(failure, options);
    const left = `${result.faults.length} of ${failure.faults.length} faults`;
    const bound = minimal ? 'each of them needed' : 'not further for lack of runs';
    stdout.write(`seed ${failure.seed} shrunk to ${left} in ${runs} runs, ${bound}:\n`);
    stdout.write(`${formatFailure(result, fewest, true)}\n`);
  }

  /** The timeline of the first failing seed is enough; the others name their replay. */
  private print(result: SeedResult, options: SimulateOptions, firstFailure: boolean): void {
    const { stdout } = this.context;
    stdout.write(`${formatSeedLine(result)}\n`);
    const withTimeline = this.timeline || (hasFailed(result) && firstFailure);
    if (hasFailed(result) || withTimeline) {
      stdout.write(`${formatFailure(result, options, withTimeline)}\n`);
    }
  }
}
