/** `driftway controller`: the control daemon. */
import { Command, Option } from 'clipanion';
import { ConfiguredCommand } from './configured-command.js';
import { controllerConfigurationSchema } from '../configuration/controller-configuration.js';
import { startController } from '../control/start-controller.js';
import { createDurableNodeEnvironment } from '../node/node-environment.js';
import { createTelemetry, runDaemonProcess, type ExitCode } from './daemon-process.js';
import { loadConfiguration } from './load-configuration.js';
import { watchMemory } from './watch-memory.js';
import { watchProcessor } from './watch-processor.js';

/** Runs until SIGTERM. */
export class ControllerCommand extends ConfiguredCommand {
  static override paths = [['controller']];
  static override usage = Command.Usage({
    category: 'Daemons',
    description: 'Run the control daemon',
    details: `
      Agrees with the other controllers on the configuration, serves operators over HTTP, and
      streams the configuration to the other daemons. Keeps its state in its data folder.

      Stops on SIGTERM: answers what is in flight, sends daemons to other controllers, hands
      leadership over, then exits with 0. Exits with 2 when the settings file is wrong, naming
      every wrong key.
    `,
    examples: [
      ['Run with a settings file', 'driftway controller --config controller-1.yaml'],
      [
        'Keep the state elsewhere',
        'driftway controller --config controller-1.yaml --data-folder ./data/controller-1',
      ],
    ],
  });

  config = Option.String('--config', { required: true, description: 'Settings file (YAML)' });
  memberId = Option.String('--member-id', { description: 'Overrides memberId' });
  dataFolder = Option.String('--data-folder', { description: 'Overrides dataFolder' });
  listenHttp = Option.String('--listen-http', { description: 'Overrides listen.http' });
  listenMessages = Option.String('--listen-messages', { description: 'Overrides listen.messages' });
  region = Option.String('--region', { description: 'Overrides region' });
  zone = Option.String('--zone', { description: 'Overrides zone' });

  protected override async runConfigured(): Promise<ExitCode> {
    const configuration = await loadConfiguration(controllerConfigurationSchema, this.config, [
      { path: 'memberId', value: this.memberId },
      { path: 'dataFolder', value: this.dataFolder },
      { path: 'listen.http', value: this.listenHttp },
      { path: 'listen.messages', value: this.listenMessages },
      { path: 'region', value: this.region },
      { path: 'zone', value: this.zone },
    ]);
    const telemetry = createTelemetry(configuration.log.format, process.stdout);
    const budgets = watchMemory(telemetry, configuration.memory.limitBytes);
    const processor = watchProcessor(telemetry);
    const environment = createDurableNodeEnvironment(configuration.dataFolder, budgets, processor);
    return runDaemonProcess(telemetry.logger, (stopped) =>
      startController(environment, configuration, telemetry, stopped),
    );
  }
}
