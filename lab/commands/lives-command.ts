/** `driftway-lab lives`: replicas that start again under their ids, in virtual time. */
import { Command, Option } from 'clipanion';
import { DEFAULT_LIVES_OPTIONS } from '../lives/lives-options.js';
import { runLives, type LivesResult } from '../lives/lives-run.js';
import { parseSeedRange, seedsOf } from '../simulate/seed-batch.js';
import { UsageCheckedCommand } from './usage-checked-command.js';

const EXIT_FAILED = 1;

function formatResult({ seed, lives, calls, answered, violations }: LivesResult): string {
  const head = `seed ${seed}: ${lives} lives, ${answered} of ${calls} requests answered`;
  const lines = violations.map((violation) => `  ${violation}\n`);
  return `${head}, ${violations.length} violations\n${lines.join('')}`;
}

/** See `driftway-lab lives --help`. */
export class LivesCommand extends UsageCheckedCommand {
  static override paths = [['lives']];

  static override usage = Command.Usage({
    category: 'Simulate',
    description: 'Let replicas start again under their ids while words come late.',
    details: `
      Runs controllers, gateways and replicas in virtual time. Replicas crash, drain and start again
      under the id that they had, with clocks that step either way, behind cuts that let their
      words arrive late, while controllers restart, freeze and are cut off. Checks that nothing
      that is not repeatable runs twice, that what is said not to have run did not, that a life
      whose leaving was acknowledged gets nothing new after three seconds, and that the last life
      of each replica gets work. Exits with 1 when anything of that fails.
    `,
    examples: [['A thousand seeds', '$0 lives --seeds 1..1000']],
  });

  seeds = Option.String('--seeds', '1..10', { description: 'First and last seed, as A..B.' });

  protected override async run(): Promise<number> {
    let hasFailed = false;
    for (const seed of seedsOf(parseSeedRange(this.seeds))) {
      const result = await runLives({ ...DEFAULT_LIVES_OPTIONS, seed });
      this.context.stdout.write(formatResult(result));
      hasFailed ||= result.violations.length > 0;
    }
    return hasFailed ? EXIT_FAILED : 0;
  }
}
