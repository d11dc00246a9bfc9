/** One seed: a fleet, its callers and operators, a schedule of faults, and the audit after it. */
import { xxh64 } from '@node-rs/xxhash';
import type { HistoryReport, StatusReport } from '../../src/administration/response-schemas.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorError } from '../../src/operator/operator-error.js';
import type { Address } from '../../src/seams/address.js';
import { audit } from '../auditor/auditor.js';
import { DEFAULT_AUDIT_TERMS } from '../auditor/audit-evidence.js';
import { countViolations, type Violation } from '../auditor/violation.js';
import { DEPLOYMENTS } from '../bench/deployment.js';
import { EPOCH_START } from '../simulation/simulated-clock.js';
import { Simulation } from '../simulation/simulation.js';
import {
  checkAcknowledgements,
  checkForce,
  checkHistory,
  checkRouterRevisions,
  FORCE_BOUND,
} from './check-acknowledged-changes.js';
import { checkCancellations } from './check-cancellations.js';
import { checkFullCoverage, checkRest, LIVENESS_BOUND } from './check-liveness.js';
import { switchesOf } from './broken-rules.js';
import type { ScheduledFault } from './fault-plan.js';
import { drawSchedule } from './fault-schedule.js';
import { Fleet } from './fleet.js';
import { OperatorLedger } from './operator-ledger.js';
import type { SeedResult } from './seed-result.js';
import type { SimulateOptions } from './simulate-options.js';
import { SimulatedCallers } from './simulated-callers.js';
import { OPERATOR_TOKEN } from './simulated-daemons.js';
import { SimulatedOperators } from './simulated-operators.js';
import { Timeline } from './timeline.js';

/** From the first configuration to the first fault. Milliseconds. */
const WARM_UP = 5_000;
/** Queries of this long after the liveness bound must all be answered in full. Milliseconds. */
const PROBE_TIME = 5_000;
/** For requests in flight at the end. Milliseconds. */
const DRAIN_TIME = 5_000;
const RACING_OPERATORS = 3;
const MILLISECONDS_PER_MINUTE = 60_000;
const SETTLE_LIMIT = 120_000;
const MOST_CHANGES_READ = 1_000;

/** See the module comment. Used once. */
export class SeedRun {
  private readonly simulation: Simulation;
  private readonly timeline: Timeline;
  private readonly fleet: Fleet;
  private readonly callers: SimulatedCallers;
  private readonly operatorLedger = new OperatorLedger();
  private readonly operators: SimulatedOperators;
  private readonly faults: number[] = [];

  constructor(
    private readonly seed: number,
    private readonly options: SimulateOptions,
  ) {
    const { deployment, broken, faults } = options;
    this.simulation = new Simulation(seed);
    this.timeline = new Timeline(() => this.simulation.now);
    this.fleet = new Fleet(this.simulation, deployment, this.timeline, switchesOf(broken));
    this.callers = new SimulatedCallers(this.fleet, seed);
    const operators = faults.includes('operators') ? RACING_OPERATORS : 1;
    this.operators = new SimulatedOperators(this.fleet, seed, this.operatorLedger, operators);
  }

  async run(): Promise<SeedResult> {
    await this.simulation.settle(this.fleet.start(), SETTLE_LIMIT);
    await this.simulation.settle(this.operators.setUp(this.options.deployment), SETTLE_LIMIT);
    const from = this.simulation.now + WARM_UP;
    const to = from + this.options.minutes * MILLISECONDS_PER_MINUTE;
    const rested = to + LIVENESS_BOUND;
    this.scheduleFaults(from, to);
    this.callers.schedule(this.options.rate, from, rested + PROBE_TIME);
    this.operators.run(to);
    await this.simulation.runUntil(rested);
    const liveness = await this.checkRest();
    await this.simulation.runUntil(rested + PROBE_TIME + DRAIN_TIME);
    liveness.push(...checkFullCoverage(this.callers.ledger.entries, EPOCH_START + rested));
    return this.conclude(liveness);
  }

  private scheduleFaults(from: number, to: number): void {
    const { deployment, faults: kinds, only } = this.options;
    const { services } = this.fleet;
    const sharded = services.filter(({ kind }) => kind === 'sharded');
    const targets = {
      controllers: this.fleet.controllers.map(({ name }) => name),
      routers: this.fleet.routers.map(({ name }) => name),
      backends: [...this.fleet.backends.keys()],
      zones: DEPLOYMENTS[deployment].zones,
      services: services.map(({ name }) => name),
      shardedServices: sharded.map(({ name }) => name),
    };
    const schedule = drawSchedule({ seed: this.seed, kinds, from, to, targets });
    for (const fault of schedule) {
      if (only === undefined || only.includes(fault.number)) this.scheduleFault(fault);
    }
  }

  private scheduleFault(fault: ScheduledFault): void {
    this.faults.push(fault.number);
    const label = `fault ${fault.number} (${fault.kind})`;
    this.simulation.at(fault.at, () => {
      this.timeline.note(`${label}: ${fault.text}`);
      fault.begin(this.fleet);
    });
    if (fault.end === undefined) return;
    this.simulation.at(fault.at + fault.duration, () => {
      this.timeline.note(`${label} ends`);
      fault.end?.(this.fleet);
    });
  }

  /** Asks every controller for its state, and all of them for the history of changes. */
  private async checkRest(): Promise<string[]> {
    const statuses = new Map<string, StatusReport | undefined>();
    const addresses = this.fleet.controllerAddresses();
    for (const [index, { name }] of this.fleet.controllers.entries()) {
      const address = addresses.slice(index, index + 1);
      statuses.set(name, await this.read<StatusReport>(address, '/v1/status'));
    }
    const revisions = new Map(
      this.fleet.routers.map(({ name, running }) => [name, running?.revision()]),
    );
    const acknowledged = this.operatorLedger.acknowledged().map(({ revision }) => revision);
    return checkRest({ statuses, revisions, lastAcknowledged: Math.max(...acknowledged) });
  }

  private async read<T>(controllers: readonly Address[], target: string): Promise<T | undefined> {
    const { clock, network } = this.operators.machine.environment;
    const timeouts = { attemptTimeoutMs: 2_000, totalTimeoutMs: 10_000 };
    const client = new OperatorClient(network, clock, {
      controllers,
      token: OPERATOR_TOKEN,
      ...timeouts,
    });
    try {
      return await this.simulation.settle(client.get<T>(target));
    } catch (error) {
      if (error instanceof OperatorError) return undefined;
      throw error;
    } finally {
      client.close();
    }
  }

  private async conclude(liveness: string[]): Promise<SeedResult> {
    const target = `/v1/history?limit=${MOST_CHANGES_READ}`;
    const history = await this.read<HistoryReport>(this.fleet.controllerAddresses(), target);
    if (history === undefined) liveness.push('no controller tells the history of changes');
    const violations = this.audit(history?.changes ?? []);
    const unanswered = violations.filter(({ kind }) => kind === 'unanswered');
    liveness.push(...unanswered.map(({ requestId, detail }) => `${requestId}: ${detail}`));
    const broken = violations.filter(({ kind }) => kind !== 'unanswered');
    for (const { kind, requestId, detail } of broken) {
      this.timeline.note(`VIOLATION ${kind} ${requestId}: ${detail}`);
    }
    return {
      seed: this.seed,
      requests: this.callers.ledger.entries.length,
      changes: this.operatorLedger.acknowledged().length,
      faults: this.faults,
      counts: countViolations(broken),
      violations: broken,
      liveness,
      digest: this.digest(),
      virtualTime: this.simulation.now,
      timeline: this.timeline.entries,
    };
  }

  private audit(history: HistoryReport['changes']): Violation[] {
    const callers = this.callers.ledger.entries;
    const terms = {
      ...DEFAULT_AUDIT_TERMS,
      settingsLag: FORCE_BOUND,
      unplannedLosses: this.fleet.routerLosses.all(),
    };
    const acknowledged = this.operatorLedger.acknowledged();
    return [
      ...audit({ backends: this.fleet.backendLedger, callers, terms }).violations,
      ...checkCancellations(callers),
      ...checkAcknowledgements(this.operatorLedger),
      ...checkForce(acknowledged, callers),
      ...checkHistory(acknowledged, history),
      ...checkRouterRevisions(this.fleet.revisions),
    ];
  }

  private digest(): string {
    const told = JSON.stringify([this.callers.ledger.entries, this.operatorLedger.entries]);
    return xxh64(`${this.simulation.eventDigest}${told}`).toString(16).padStart(16, '0');
  }
}
