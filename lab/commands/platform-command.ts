/** `driftway-lab platform`: a stand-in for the platform's list of machines. */
import { Command, Option } from 'clipanion';
import { createTelemetry, runDaemon, type ExitCode } from '../../src/commands/daemon-process.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { formatAddress, parseAddress } from '../../src/seams/address.js';
import { PlatformList } from '../platform/platform-list.js';

const DEFAULT_LAG = '2000';

/** Runs until SIGTERM. */
export class PlatformCommand extends Command {
  static override paths = [['platform']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'Run a list of machines that tells every change late',
    details: `
      \`GET /machines\` gives a JSON array of \`{replicaId, incarnation, state}\` with state live,
      draining or gone; \`PUT /machines\` takes one such element, which is told after the lag.
      Writes one JSON line with its address. Stops on SIGTERM.
    `,
    examples: [['A list three seconds late', 'driftway-lab platform --lag 3000']],
  });

  listen = Option.String('--listen', '127.0.0.1:0', { description: 'host:port; 0 picks a port' });
  lag = Option.String('--lag', DEFAULT_LAG, { description: 'Milliseconds' });
  json = Option.Boolean('--json', false, { description: 'JSON log lines, also on a terminal' });

  override async execute(): Promise<ExitCode> {
    const { logger } = createTelemetry(this.json ? 'json' : 'auto', process.stdout);
    return runDaemon(logger, async () => {
      const address = parseAddress(this.listen);
      const list = await PlatformList.start(createNodeEnvironment(), {
        address,
        lag: Number(this.lag),
      });
      logger.info('listening', { http: formatAddress(list.address) });
      return list;
    });
  }
}
