/** `driftway gateway`: the HTTP forwarding daemon. */
import { Command, Option } from 'clipanion';
import { gatewayConfigurationSchema } from '../configuration/gateway-configuration.js';
import { GatewayDaemon } from '../gateway/gateway-daemon.js';
import { createNodeEnvironment } from '../node/node-environment.js';
import { waitForAddresses } from '../startup/waiting-network.js';
import { ConfiguredCommand } from './configured-command.js';
import { createTelemetry, runDaemonProcess, type ExitCode } from './daemon-process.js';
import { loadConfiguration } from './load-configuration.js';
import { watchMemory } from './watch-memory.js';
import { watchProcessor } from './watch-processor.js';

/** Runs until SIGTERM. */
export class GatewayCommand extends ConfiguredCommand {
  static override paths = [['gateway']];
  static override usage = Command.Usage({
    category: 'Daemons',
    description: 'Run the HTTP forwarding daemon',
    details: `
      Forwards callers' HTTP requests to replicas by the route document, and merges the answers of
      routes that go to all shards. Learns routes and replicas from the controllers.

      Stops on SIGTERM: /readyz says 503 at once, new requests are still served for a while, what
      is in flight is answered, then it exits with 0. Exits with 2 when the settings file is wrong.
    `,
    examples: [['Run with a settings file', 'driftway gateway --config gateway-1.yaml']],
  });

  config = Option.String('--config', { required: true, description: 'Settings file (YAML)' });
  listenHttp = Option.String('--listen-http', { description: 'Overrides listen.http' });
  listenHealth = Option.String('--listen-health', { description: 'Overrides listen.health' });

  protected override async runConfigured(): Promise<ExitCode> {
    const configuration = await loadConfiguration(gatewayConfigurationSchema, this.config, [
      { path: 'listen.http', value: this.listenHttp },
      { path: 'listen.health', value: this.listenHealth },
    ]);
    const telemetry = createTelemetry(configuration.log.format, process.stdout);
    const budgets = watchMemory(telemetry, configuration.memory.limitBytes);
    const environment = createNodeEnvironment(budgets, watchProcessor(telemetry));
    const { logger } = telemetry;
    return runDaemonProcess(logger, (stopped) =>
      GatewayDaemon.start(
        waitForAddresses(environment, { logger, stopped }),
        configuration,
        telemetry,
      ),
    );
  }
}
