/** `driftway-lab load`: open-loop callers. */
import { writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import * as z from 'zod';
import { ExitCode } from '../../src/commands/daemon-process.js';
import { loadConfiguration } from '../../src/commands/load-configuration.js';
import { ConfigurationError } from '../../src/configuration/configuration-error.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { PureRandomSource } from '../../src/node/pure-random-source.js';
import { parseAddress, type Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { fleetFileSchema } from '../fleet/fleet-file.js';
import { stopSignal } from '../fleet/with-fleet.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { formatLoadTable } from '../load/load-table.js';
import { summarizeByService } from '../load/load-summary.js';
import type { Arrivals } from '../load/open-loop-load.js';
import { runLoad, type LoadPlan } from '../load/run-load.js';
import { queryKindSchema } from '../load/query-mix.js';
import { RunCommand } from './run-command.js';

/** Requests a second. */
const LEAST_RATE = 0.1;
const ARRIVALS: readonly Arrivals[] = ['poisson', 'even'];

/** Runs until every request has ended. */
export class LoadCommand extends RunCommand {
  static override paths = [['load']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'Send queries on a schedule, whether or not earlier ones were answered',
    details: `
      Sends the queries of a fleet file, or of one service, to the routers in turn, and prints a
      table by service: latency counts from the scheduled time, so that a slow system is not
      asked less. \`--ledger\` keeps what every caller sent and got, for the auditor.

      Exits with 0 when at least one request was answered, with 1 otherwise, with 2 when an
      argument or the file is wrong.
    `,
    examples: [
      [
        'The queries of a fleet file',
        'driftway-lab load --router 127.0.0.1:7400 --file lab/fleets/dohoku.yaml --rate 50',
      ],
      [
        'One service, as JSON',
        'driftway-lab load --router 127.0.0.1:7400 --service kifu-audit --json',
      ],
    ],
  });

  routers = Option.Array('--router', { required: true, description: 'host:port; repeatable' });
  file = Option.String('--file', { description: 'Fleet file (YAML) that says what to ask' });
  service = Option.String('--service', { description: 'Ask this service only' });
  rate = Option.String('--rate', '50', {
    validator: typanion.cascade(typanion.isNumber(), typanion.isAtLeast(LEAST_RATE)),
    description: 'Requests a second',
  });
  requests = Option.String('--requests', '500', {
    validator: typanion.cascade(typanion.isNumber(), typanion.isInteger(), typanion.isAtLeast(1)),
    description: 'How many',
  });
  arrivals = Option.String('--arrivals', 'poisson', {
    validator: typanion.isEnum(ARRIVALS),
    description: 'poisson or even',
  });
  seed = Option.String('--seed', {
    validator: typanion.isNumber(),
    description: 'Of requests and arrivals; differs from run to run when absent',
  });
  ledger = Option.String('--ledger', { description: 'Write what callers sent and got (JSON)' });
  json = Option.Boolean('--json', false, { description: 'Print the summary as JSON' });

  protected override async runConfigured(): Promise<ExitCode> {
    const system = createNodeEnvironment();
    const random = this.seed === undefined ? system.random : new PureRandomSource(this.seed);
    const environment: Environment = { ...system, random };
    const { entries } = await runLoad(environment, await this.plan());
    if (this.ledger !== undefined) await writeFile(this.ledger, JSON.stringify(entries));
    this.printSummary(entries);
    return entries.some(({ outcome }) => outcome === 'answered')
      ? ExitCode.Success
      : ExitCode.Failure;
  }

  private async plan(): Promise<LoadPlan> {
    return {
      ...(await this.readQueries()),
      targets: this.routers.map((text) => ({ name: text, address: readAddress(text) })),
      rate: this.rate,
      requests: this.requests,
      arrivals: this.arrivals,
      signal: stopSignal(),
    };
  }

  /** @throws ConfigurationError when there is nothing to ask. */
  private async readQueries(): Promise<Pick<LoadPlan, 'queries' | 'clientLatency'>> {
    const { file, service } = this;
    if (file === undefined) {
      if (service === undefined) throw usageError('--file', 'give --file or --service');
      const kind = queryKindSchema.safeParse({ service });
      if (!kind.success) throw usageError('--service', z.prettifyError(kind.error));
      return { queries: [kind.data], clientLatency: 0 };
    }
    const { queries, clientLatency } = await loadConfiguration(fleetFileSchema, file, []);
    const wanted = queries.filter((kind) => service === undefined || kind.service === service);
    if (wanted.length === 0) throw usageError('--service', `${file} asks nothing of ${service}`);
    return { queries: wanted, clientLatency };
  }

  private printSummary(entries: readonly CallerLedgerEntry[]): void {
    const text = this.json
      ? `${JSON.stringify(Object.fromEntries(summarizeByService(entries)))}\n`
      : formatLoadTable(entries);
    this.context.stdout.write(text);
  }
}

function usageError(flag: string, reason: string): ConfigurationError {
  return new ConfigurationError('the command line', [{ path: flag, reason }]);
}

function readAddress(text: string): Address {
  try {
    return parseAddress(text);
  } catch (error) {
    throw usageError('--router', (error as Error).message);
  }
}
