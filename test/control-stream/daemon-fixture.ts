/** A simulated daemon that follows the control stream and records what it receives. */
import { Registry } from 'prom-client';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import {
  ControlStreamClient,
  type ControlStreamClientConfiguration,
} from '../../src/control-stream/control-stream-client.js';
import type { ControlStreamFaults } from '../../src/control-stream/control-stream-faults.js';
import { observe } from '../../src/control-stream/observe.js';
import type { LivenessReport } from '../../src/model/liveness-report.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { CLUSTER, type TestController } from './controller-fixture.js';

/** One process of a daemon; starts following when constructed. */
export class TestDaemon {
  readonly client: ControlStreamClient;
  /** Every revision that came into force, in order. */
  readonly revisions: number[] = [];
  readonly livenessReports: LivenessReport[] = [];
  readonly registry = new Registry();

  constructor(
    readonly host: SimulatedMachine,
    controllers: readonly TestController[],
    overrides: Partial<ControlStreamClientConfiguration> = {},
    faults?: ControlStreamFaults,
  ) {
    const configuration = {
      name: host.name,
      zone: host.zone,
      cluster: CLUSTER,
      controllers: controllers.map(({ endpoint }) => endpoint),
      ...overrides,
    };
    const telemetry = { logger: SILENT_LOGGER, registry: this.registry };
    this.client = ControlStreamClient.start(host.environment, configuration, telemetry, faults);
    observe(this.client.revisions, ({ revision }) => this.revisions.push(revision));
    observe(this.client.livenessReports, (report) => this.livenessReports.push(report));
  }

  get revision(): number | undefined {
    return this.client.current()?.revision;
  }

  get fresh(): boolean {
    return this.client.freshness().fresh;
  }

  /** Sum of the counter `name`, over the label `reason` only if one is passed. */
  async counter(name: string, reason?: string): Promise<number> {
    const values = (await this.registry.getSingleMetric(name)?.get())?.values ?? [];
    return values
      .filter(({ labels }) => reason === undefined || labels['reason'] === reason)
      .reduce((sum, { value }) => sum + value, 0);
  }
}
