/** Replays one trace under one policy set in virtual time. */
import { Registry } from 'prom-client';
import { xxh64 } from '@node-rs/xxhash';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { RouterFaults } from '../../src/router/router-faults.js';
import type { ServiceDefinition } from '../../src/model/service-definition.js';
import type { Clock } from '../../src/seams/clock.js';
import { formatScope } from '../../src/settings/scope.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import {
  DEFAULT_SERVICE_SETTINGS,
  type SettingsOverride,
} from '../../src/settings/service-settings.js';
import { DEFAULT_AUDIT_TERMS } from '../auditor/audit-evidence.js';
import { audit } from '../auditor/auditor.js';
import type { ViolationCounts } from '../auditor/violation.js';
import { BackendLedger } from '../ledger/backend-ledger.js';
import { CallerLedger } from '../ledger/caller-ledger.js';
import { EPOCH_START } from '../simulation/simulated-clock.js';
import { SAME_ZONE_LATENCY, DEFAULT_LINK } from '../simulation/link-table.js';
import { Simulation } from '../simulation/simulation.js';
import { BenchCallers, CALLERS_ZONE, type RouterEndpoint } from './bench-callers.js';
import { BenchFleet } from './bench-fleet.js';
import type { BenchFigures, PeriodFigures } from './bench-figures.js';
import type { BenchRecord } from './bench-record.js';
import { DEPLOYMENTS } from './deployment.js';
import { FixedConfigurationSource } from '../measure/fixed-configuration-source.js';
import { Measurement, type MeasuredService } from './measure.js';
import { Oracle } from './oracle.js';
import { ReplicaOutages, struckReplicas } from './replica-outages.js';
import { ReplyTimes } from './reply-times.js';
import { serviceCapacity } from './service-capacity.js';
import { timelineOf } from './timeline.js';
import type { Trace } from './trace.js';

/** Virtual time at which the trace begins, once everything has started. Milliseconds. */
const TRACE_START = 3_000;
/** After the trace ends, for requests in flight. Milliseconds. */
const DRAIN_TIME = 5_000;
const ROUTER_PORT = 7_400;
const CLUSTER_KEY = 'bench-cluster-key-of-no-secrecy';

/** What to replay and how. */
export interface BenchOptions {
  readonly trace: Trace;
  readonly policies: SettingsOverride;
  readonly seed: number;
  /** Promises the routers break on purpose, to show that the audit would notice. */
  readonly faults?: RouterFaults;
}

/** Reads fractions of a millisecond since the trace began, unlike a time of day. */
function ledgerClock(simulation: Simulation): Pick<Clock, 'wallTime'> {
  return { wallTime: () => simulation.now - TRACE_START };
}

function createReplyTimes(trace: Trace, seed: number): ReplyTimes {
  const slowFaults = trace.faults.filter(({ kind }) => kind === 'slow');
  const slowPeriods = slowFaults.flatMap((fault) =>
    struckReplicas(trace.deployment, fault).map(({ replicaId }) => ({
      replicaId,
      from: fault.atMs,
      to: fault.untilMs ?? Infinity,
      factor: fault.factor,
    })),
  );
  return new ReplyTimes({
    seed,
    usual: trace.replyTimes,
    stragglers: trace.stragglers,
    slowPeriods,
  });
}

/** One replay. Used once. */
export class BenchRun {
  private readonly simulation: Simulation;
  private readonly replyTimes: ReplyTimes;
  private readonly backendLedger: BackendLedger;
  private readonly callerLedger = new CallerLedger();
  private readonly fleet: BenchFleet;

  constructor(private readonly options: BenchOptions) {
    const { trace, seed } = options;
    this.simulation = new Simulation(seed);
    this.replyTimes = createReplyTimes(trace, seed);
    this.backendLedger = new BackendLedger(ledgerClock(this.simulation));
    this.fleet = new BenchFleet(
      this.simulation,
      TRACE_START,
      trace,
      this.replyTimes,
      this.backendLedger,
    );
  }

  async run(): Promise<BenchFigures> {
    const { trace, seed } = this.options;
    await this.fleet.start();
    const routers = await this.startRouters();
    this.setDistances();
    const callers = new BenchCallers(this.simulation, trace, seed, routers, this.callerLedger);
    callers.schedule(TRACE_START);
    await this.simulation.runUntil(TRACE_START + trace.durationMs + DRAIN_TIME);
    return this.measure({
      requests: callers.records,
      backends: this.backendLedger,
      eventDigest: this.simulation.eventDigest,
    });
  }

  /** Routers stand in the zones in turn; they know nothing of each other. */
  private async startRouters(): Promise<RouterEndpoint[]> {
    const { trace } = this.options;
    const { zones } = DEPLOYMENTS[trace.deployment];
    const source = new FixedConfigurationSource(this.configuration());
    const endpoints: RouterEndpoint[] = [];
    for (let index = 0; index < trace.routers; index += 1) {
      const name = `router-${index + 1}`;
      const zone = zones[index % zones.length] ?? trace.deployment;
      const machine = this.simulation.createMachine(name, zone);
      const configuration = routerConfigurationSchema.parse({
        name,
        region: trace.deployment,
        zone,
        cluster: { id: trace.deployment, key: CLUSTER_KEY },
        listen: { http: `${machine.host}:${ROUTER_PORT}` },
        controllers: [{ memberId: 'none', address: '10.255.255.255:1', zone }],
      });
      const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
      const started = RouterDaemon.start(
        machine.environment,
        configuration,
        source,
        telemetry,
        this.options.faults,
      );
      const { address } = await this.simulation.settle(started);
      endpoints.push({ name, zone, address });
    }
    return endpoints;
  }

  private setDistances(): void {
    const latency = DEPLOYMENTS[this.options.trace.deployment].clientLatency;
    this.simulation.changeLink({ from: { zone: CALLERS_ZONE } }, { latency });
    this.simulation.changeLink({ to: { zone: CALLERS_ZONE } }, { latency });
  }

  private configuration(): ConfigurationState {
    const { trace, policies } = this.options;
    const { services } = this.fleet;
    const names = Object.keys(services);
    const overrides: Record<string, SettingsOverride> = {};
    for (const service of names) {
      const scope = formatScope({ level: 'service', service });
      overrides[scope] = { ...trace.settings[service], ...policies };
    }
    const regions = {
      [trace.deployment]: { name: trace.deployment, zones: DEPLOYMENTS[trace.deployment].zones },
    };
    return { revision: 1, regions, services, overrides };
  }

  private measure(record: BenchRecord): BenchFigures {
    const { trace } = this.options;
    const distances = {
      client: DEPLOYMENTS[trace.deployment].clientLatency,
      sameZone: SAME_ZONE_LATENCY,
      otherZone: DEFAULT_LINK.latency,
    };
    const oracle = new Oracle(this.replyTimes, new ReplicaOutages(trace), distances);
    const measurement = new Measurement(record, this.measuredServices(), oracle);
    const phases: Record<string, PeriodFigures> = {};
    for (const { name, fromMs, toMs } of trace.phases) {
      phases[name] = measurement.period({ from: fromMs, to: toMs });
    }
    return {
      ...measurement.period({ from: trace.warmupMs, to: trace.durationMs }),
      phases,
      timeline: timelineOf(record, trace.durationMs),
      violations: this.audit(record),
      digest: digestOf(record),
    };
  }

  /** Callers keep wall-clock times, back ends the time of the trace; both are given the latter. */
  private audit({ backends }: BenchRecord): ViolationCounts {
    const origin = EPOCH_START + TRACE_START;
    const callers = this.callerLedger.entries.map((entry) => ({
      ...entry,
      scheduledAt: entry.scheduledAt - origin,
      sentAt: entry.sentAt - origin,
      endedAt: entry.endedAt - origin,
    }));
    return audit({ backends, callers, terms: DEFAULT_AUDIT_TERMS }).counts;
  }

  private measuredServices(): ReadonlyMap<string, MeasuredService> {
    const { trace } = this.options;
    const asked = new Set(trace.arrivals.map(({ service }) => service));
    const services = new Map<string, MeasuredService>();
    for (const [name, definition] of Object.entries(this.fleet.services)) {
      if (asked.has(name)) services.set(name, this.measuredService(definition));
    }
    return services;
  }

  private measuredService(definition: ServiceDefinition): MeasuredService {
    const { trace } = this.options;
    const { name } = definition;
    return {
      definition,
      settings: { ...DEFAULT_SERVICE_SETTINGS, ...trace.settings[name] },
      capacity: serviceCapacity(definition, trace),
    };
  }
}

/** Over every event of the simulation and every answer. */
function digestOf(record: BenchRecord): string {
  const answers = record.requests.map(({ scheduledAt, entry }) => [
    scheduledAt,
    entry.outcome,
    entry.latencyMs,
    entry.answer?.coverage,
  ]);
  return xxh64(`${record.eventDigest}${JSON.stringify(answers)}`)
    .toString(16)
    .padStart(16, '0');
}
