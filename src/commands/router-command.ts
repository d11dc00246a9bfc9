/** `driftway router`: the query daemon. */
import { Command, Option } from 'clipanion';
import { ConfiguredCommand } from './configured-command.js';
import { routerConfigurationSchema } from '../configuration/router-configuration.js';
import { ControlStreamClient } from '../control-stream/control-stream-client.js';
import { createNodeEnvironment } from '../node/node-environment.js';
import { RouterDaemon } from '../router/router-daemon.js';
import { waitForAddresses } from '../startup/waiting-network.js';
import { createTelemetry, runDaemonProcess, type ExitCode } from './daemon-process.js';
import { loadConfiguration } from './load-configuration.js';
import { watchMemory } from './watch-memory.js';

/** Runs until SIGTERM. */
export class RouterCommand extends ConfiguredCommand {
  static override paths = [['router']];
  static override usage = Command.Usage({
    category: 'Daemons',
    description: 'Run the query daemon',
    details: `
      Serves callers over HTTP and sends their queries to the back ends. Learns services,
      replicas and settings from the controllers named in its settings file.

      Stops on SIGTERM: takes no new work, finishes what is in flight, then exits with 0.
      Exits with 2 when the settings file is wrong, naming every wrong key.
    `,
    examples: [
      ['Run with a settings file', 'driftway router --config router.yaml'],
      ['Listen elsewhere', 'driftway router --config router.yaml --listen 127.0.0.1:7400'],
    ],
  });

  config = Option.String('--config', { required: true, description: 'Settings file (YAML)' });
  daemonName = Option.String('--name', { description: 'Overrides name' });
  listen = Option.String('--listen', { description: 'Overrides listen.http, as host:port' });
  region = Option.String('--region', { description: 'Overrides region' });
  zone = Option.String('--zone', { description: 'Overrides zone' });

  protected override async runConfigured(): Promise<ExitCode> {
    const configuration = await loadConfiguration(routerConfigurationSchema, this.config, [
      { path: 'name', value: this.daemonName },
      { path: 'listen.http', value: this.listen },
      { path: 'region', value: this.region },
      { path: 'zone', value: this.zone },
    ]);
    const telemetry = createTelemetry(configuration.log.format, process.stdout);
    const budgets = watchMemory(telemetry, configuration.memory.limitBytes);
    const system = createNodeEnvironment(budgets);
    const { logger } = telemetry;
    return runDaemonProcess(logger, async (stopped) => {
      const environment = waitForAddresses(system, { logger, stopped });
      let source: ControlStreamClient | undefined;
      const connect = (): ControlStreamClient =>
        (source = ControlStreamClient.start(environment, configuration, telemetry));
      const router = await RouterDaemon.startWith(environment, configuration, connect, telemetry);
      return {
        stop: async () => {
          await router.stop();
          await source?.close();
        },
      };
    });
  }
}
