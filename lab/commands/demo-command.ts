/** `driftway-lab demo`: the whole system at work, on this machine, in half a minute. */
import { Command, Option } from 'clipanion';
import { ExitCode } from '../../src/commands/daemon-process.js';
import { loadConfiguration } from '../../src/commands/load-configuration.js';
import { ConfigurationError } from '../../src/configuration/configuration-error.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { Demo } from '../demo/demo.js';
import { failedDemo, type DemoVerdict } from '../demo/demo-verdict.js';
import { fleetFileSchema } from '../fleet/fleet-file.js';
import { checkedInFleet } from '../fleet/program.js';
import { stopSignal } from '../fleet/with-fleet.js';

/** A run that takes longer is ended and has failed. Milliseconds. */
const RUN_LIMIT = 45_000;

/** See `driftway-lab demo --help`. */
export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    category: 'Fleets',
    description: 'Run a fleet, send it queries while things go wrong, and audit the outcome',
    details: `
      Starts the fleet of a file on loopback and sends some hundred queries to its routers.
      Meanwhile one replica straggles, one drains, a setting is changed, an index version is
      published, a controller is killed and started again, and a service is repartitioned. Then
      a shard loses all its replicas, the routers are stopped while they work on queries,
      everything else is stopped with SIGTERM, and the ledgers of callers and back ends are
      compared.

      The last line is one JSON object with the counts of requests and of breaches of each
      promise. Exits with 0 only when its \`ok\` is true: no breach, enough answers from every
      service, the change in force at every router, and every process stopped as it was told.
    `,
    examples: [
      ['The demo', 'driftway-lab demo'],
      [
        'Another fleet, its logs kept',
        'driftway-lab demo --file lab/fleets/pnw.yaml --folder ./demo',
      ],
    ],
  });

  file = Option.String('--file', checkedInFleet('dohoku'), { description: 'Fleet file (YAML)' });
  folder = Option.String('--folder', {
    description: 'Where settings files, logs and data go; a temporary folder when absent',
  });

  override async execute(): Promise<ExitCode> {
    const { summary, problems } = await this.run();
    if (problems.length > 0) {
      this.print(`NOT OK: ${problems.length} problems; --folder DIR keeps the logs of a run`);
    }
    this.print(JSON.stringify(summary));
    return summary.ok ? ExitCode.Success : ExitCode.Failure;
  }

  private async run(): Promise<DemoVerdict> {
    const environment = createNodeEnvironment();
    const limit = new AbortController();
    const timer = environment.clock.setTimer(RUN_LIMIT, () => {
      limit.abort(new Error(`not done after ${RUN_LIMIT / 1_000} s`));
    });
    const signal = AbortSignal.any([stopSignal(), limit.signal]);
    try {
      const file = await loadConfiguration(fleetFileSchema, this.file, []);
      const print = (text: string): void => this.print(text);
      return await new Demo({ environment, file, folder: this.folder, signal, print }).run();
    } catch (error) {
      if (!(error instanceof Error)) throw error;
      const cause: unknown = signal.aborted ? signal.reason : error;
      const reason = cause instanceof Error ? cause.message : String(cause);
      this.print(error instanceof ConfigurationError ? error.message : `PROBLEM ${reason}`);
      return failedDemo(reason);
    } finally {
      timer.cancel();
    }
  }

  private print(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }
}
