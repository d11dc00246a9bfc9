/** `driftway-lab backend`: stand-in back ends. */
import { Command, Option } from 'clipanion';
import { ConfiguredCommand } from '../../src/commands/configured-command.js';
import { createTelemetry, runDaemon, type ExitCode } from '../../src/commands/daemon-process.js';
import { loadConfiguration } from '../../src/commands/load-configuration.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { PureRandomSource } from '../../src/node/pure-random-source.js';
import { BackendProcess } from '../backend/backend-process.js';
import { backendProcessSchema } from '../backend/backend-process-file.js';

/** Runs until SIGTERM. */
export class BackendCommand extends ConfiguredCommand {
  static override paths = [['backend']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'Run stand-in back ends, many in one process',
    details: `
      Serves the back-end protocol for every replica of the settings file, with slots, queues,
      service times, cold start and drain. Writes one JSON line with the address of its control
      port once all replicas listen:

      \`GET /replicas\`, \`GET /ledger\`, \`POST /replicas/ID/faults\` with
      \`{"kind":"stall"}\` (or slow, truncate, wrong_id, late_reply, foreign_reply,
      malformed_body, shed, lose_reply), \`POST /replicas/ID/ACTION\` with drain, stop, crash,
      refuse, accept or restart, \`POST /services/NAME/publish\` with
      \`{"layoutEpoch":1,"indexVersion":2}\`.

      Stops on SIGTERM: drains, finishes what is in flight, exits with 0. Exits with 2 when the
      settings file is wrong, naming every wrong key.
    `,
    examples: [
      ['Run the replicas of a file', 'driftway-lab backend --file backends.yaml'],
      [
        'Make one of them ten times slower',
        `curl -d '{"kind":"slow","factor":10}' http://CONTROL/replicas/kifu-audit-0-a/faults`,
      ],
    ],
  });

  file = Option.String('--file', { required: true, description: 'Settings file (YAML)' });
  control = Option.String('--control', { description: 'Overrides control, as host:port' });
  json = Option.Boolean('--json', false, { description: 'JSON log lines, also on a terminal' });

  protected override async runConfigured(): Promise<ExitCode> {
    const file = await loadConfiguration(backendProcessSchema, this.file, [
      { path: 'control', value: this.control },
    ]);
    const { logger } = createTelemetry(this.json ? 'json' : 'auto', process.stdout);
    const system = createNodeEnvironment();
    const random = file.seed === undefined ? system.random : new PureRandomSource(file.seed);
    return runDaemon(logger, () => BackendProcess.start({ ...system, random }, file, logger));
  }
}
