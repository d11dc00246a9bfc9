/** `driftway-lab rollout`: route documents that follow each other under faults, in virtual time. */
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import type { RolloutFault } from '../rollout/rollout-options.js';
import {
  DEFAULT_ROLLOUT_OPTIONS,
  ROLLOUT_FAULTS,
  type RolloutOptions,
} from '../rollout/rollout-options.js';
import { IN_FORCE_BOUND_MS } from '../rollout/rollout-ledger.js';
import { runRollout, type RolloutResult } from '../rollout/rollout-run.js';
import { parseSeedRange, seedsOf } from '../simulate/seed-batch.js';
import { UsageCheckedCommand } from './usage-checked-command.js';

const EXIT_FAILED = 1;
/** Fewer bear no loss. */
const MINIMUM_CONTROLLERS = 3;
/** Late rollouts that are printed of a seed. */
const PRINTED_LATE = 5;

function isCount() {
  return typanion.cascade(typanion.isNumber(), [typanion.isInteger(), typanion.isAtLeast(1)]);
}

function formatResult(result: RolloutResult): string {
  const { seed, accepted, rollouts, meanMs, highMs, worstMs, late, reverted } = result;
  const kilobytes = Math.round(result.bytesBetweenZones / 1_000);
  const figures = `mean ${meanMs.toFixed(0)} ms, 99 in 100 ${highMs.toFixed(0)} ms, worst ${worstMs.toFixed(0)} ms`;
  const copies = `${result.documentsBetweenZones} copies (${kilobytes} kB) between zones`;
  const faults = `${late.length} late, ${reverted.length} reverted`;
  return `seed ${seed}: ${accepted} documents, ${rollouts} rollouts, ${figures}; ${copies}; ${faults}\n`;
}

function formatLate({ late, reverted }: RolloutResult): string {
  const lines = late
    .slice(0, PRINTED_LATE)
    .map(
      ({ gateway, version, acceptedAt, delayMs }) =>
        `  ${gateway} lacked version ${version} for ${delayMs.toFixed(0)} ms after ${acceptedAt.toFixed(0)} ms\n`,
    );
  return [...lines, ...reverted.map((text) => `  ${text}\n`)].join('');
}

function parseFaults(text: string): readonly RolloutFault[] {
  if (text === 'none') return [];
  return text.split(',').map((name) => {
    const fault = ROLLOUT_FAULTS.find((known) => known.valueOf() === name);
    if (fault === undefined) throw new RangeError(`no fault is called "${name}"`);
    return fault;
  });
}

function parsePauses(text: string): readonly number[] {
  const pauses = text.split(',').map(Number);
  if (pauses.every((pause) => pause >= 0)) return pauses;
  throw new RangeError(`--pauses "${text}" is no list of milliseconds, such as 20,1100`);
}

/** See `driftway-lab rollout --help`. */
export class RolloutCommand extends UsageCheckedCommand {
  static override paths = [['rollout']];

  static override usage = Command.Usage({
    category: 'Simulate',
    description: 'Put route documents in force without a pause while controllers fail.',
    details: `
      Runs controllers and gateways over several zones in virtual time. An operator puts one route
      document after the other while one controller at a time loses power, restarts, is cut off or
      freezes, and gateways restart. Checks that each accepted document, or a later one, is in
      force at every gateway within ${IN_FORCE_BOUND_MS} ms of its acknowledgement, and that no gateway goes
      back. Exits with 1 when anything of that fails.

      Faults: ${ROLLOUT_FAULTS.map((fault) => `\`${fault}\``).join(', ')}, or \`none\`.
    `,
    examples: [
      ['Two hundred seeds', '$0 rollout --seeds 1..200'],
      [
        'Changes each 60 ms while a controller is dark',
        '$0 rollout --faults power-loss --pauses 60',
      ],
    ],
  });

  seeds = Option.String('--seeds', '1..10', { description: 'First and last seed, as A..B.' });

  zones = Option.String('--zones', String(DEFAULT_ROLLOUT_OPTIONS.zones), {
    validator: isCount(),
    description: 'Zones, the first ones with one controller each.',
  });

  controllers = Option.String('--controllers', String(DEFAULT_ROLLOUT_OPTIONS.controllers), {
    validator: isCount(),
    description: 'Controllers; three or more, as fewer bear no loss, and at most one a zone.',
  });

  gateways = Option.String('--gateways', String(DEFAULT_ROLLOUT_OPTIONS.gatewaysPerZone), {
    validator: isCount(),
    description: 'Gateways of each zone.',
  });

  seconds = Option.String('--seconds', String(DEFAULT_ROLLOUT_OPTIONS.durationMs / 1_000), {
    validator: isCount(),
    description: 'Virtual seconds for which documents follow each other.',
  });

  routes = Option.String('--routes', String(DEFAULT_ROLLOUT_OPTIONS.routes), {
    validator: isCount(),
    description: 'Routes of each document.',
  });

  faults = Option.String('--faults', ROLLOUT_FAULTS.join(','), {
    description: 'Kinds of faults, separated by commas; none for a calm run. All when absent.',
  });

  atOnce = Option.String('--at-once', String(DEFAULT_ROLLOUT_OPTIONS.faultsAtOnce), {
    validator: isCount(),
    description: 'Faults that may strike at once; fewer than half of the controllers.',
  });

  pauses = Option.String('--pauses', DEFAULT_ROLLOUT_OPTIONS.pausesMs.join(','), {
    description: 'Pauses between documents, of which one is drawn every few seconds. Milliseconds.',
  });

  protected override async run(): Promise<number> {
    const options = this.readOptions();
    let hasFailed = false;
    for (const seed of seedsOf(parseSeedRange(this.seeds))) {
      const result = await runRollout({ ...options, seed });
      this.context.stdout.write(`${formatResult(result)}${formatLate(result)}`);
      hasFailed ||= result.late.length > 0 || result.reverted.length > 0;
    }
    return hasFailed ? EXIT_FAILED : 0;
  }

  /** @throws RangeError naming what is wrong. */
  private readOptions(): Omit<RolloutOptions, 'seed'> {
    const { zones, controllers, gateways, seconds, routes, atOnce } = this;
    if (controllers < MINIMUM_CONTROLLERS || controllers > zones) {
      throw new RangeError(`--controllers must be ${MINIMUM_CONTROLLERS} to the number of zones`);
    }
    if (2 * atOnce >= controllers) {
      throw new RangeError('--at-once must be less than half of --controllers');
    }
    return {
      zones,
      controllers,
      gatewaysPerZone: gateways,
      durationMs: seconds * 1_000,
      routes,
      faults: parseFaults(this.faults),
      faultsAtOnce: atOnce,
      pausesMs: parsePauses(this.pauses),
    };
  }
}
