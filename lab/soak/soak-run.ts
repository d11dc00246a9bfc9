/** One soak: real processes on loopback under faults, and what broke. */
import type { Environment } from '../../src/seams/environment.js';
import { ENDLESS_ANSWERS, type EndlessAnswer } from '../exchange/endless-answer.js';
import { seededRandom } from '../simulation/seeded-random.js';
import { ProxyMode, type LoopbackProxy } from './loopback-proxy.js';
import { SoakCallers, type SoakCall } from './soak-callers.js';
import {
  SMALL_FLEET,
  SMALL_MEMORY_MB,
  SoakFleet,
  SoakForm,
  type SoakFleetSize,
  type SoakReplica,
} from './soak-fleet.js';
import type { SoakDaemon } from './soak-daemon.js';
import { SoakOperator } from './soak-operator.js';
import { SoakOrders } from './soak-orders.js';
import {
  COMMAND_FAULTS,
  DEPLOYED_FAULTS,
  SoakFault,
  planFaults,
  type PlannedFault,
} from './soak-plan.js';
import { judgeSoak } from './soak-verdict.js';

/** Between two requests of all callers together. Milliseconds. */
const CALL_INTERVAL_MS = 15;
/** Until replicas and routes are known everywhere, and after the last fault. Milliseconds. */
const SETTLE_MS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;
const HTTP_OK = 200;
/** A replica's notice that it leaves, which no controller took within this many tries is left alone. */
const DRAIN_TRIES = 20;
/** Between two tries. Milliseconds. */
const DRAIN_PAUSE_MS = 250;
/** A replica serves on for this long after it has said that it leaves. Milliseconds. */
const SERVES_ON_MS = 4_500;

const MAXIMUM_LOSSES = 3;

/** What to run. */
export interface SoakOptions {
  readonly environment: Environment;
  readonly seed: number;
  readonly seconds: number;
  /** {@link SMALL_FLEET} by default. */
  readonly size?: SoakFleetSize;
  /** {@link SoakForm.Deployed} by default. */
  readonly form?: SoakForm;
  /** That each process of the deployed form may use; {@link SMALL_MEMORY_MB} by default. Megabytes. */
  readonly memoryMb?: number;
  /** Settings, logs and data of the processes go here. */
  readonly folder: string;
  /** Also checks the promises that name a time; off where the machine may be too busy to keep one. */
  readonly timed: boolean;
  /** Told of each fault as it begins. */
  readonly onFault?: (fault: PlannedFault) => void;
}

/** What one run showed. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: number;
  readonly calls: number;
  readonly answered: number;
  readonly versions: number;
  /** Acknowledged evacuation orders. */
  readonly orders: number;
  /** Highest memory of any process of the deployed form. Bytes. */
  readonly peakBytes: number;
  readonly violations: readonly string[];
}

/** What the load showed. */
interface LoadEvidence {
  readonly calls: readonly SoakCall[];
  readonly faults: number;
  /** Versions that controllers said were in force at the end. */
  readonly readBack: readonly number[];
  /** Clock reading. */
  readonly endedAt: number;
}

/** One run in progress. */
class SoakRun {
  private readonly fleet: SoakFleet;
  private readonly operator: SoakOperator;
  private readonly orders: SoakOrders;
  private readonly failedStops: string[] = [];
  private readonly faultKinds: readonly SoakFault[];
  /** Daemons that a fault has struck; a further fault on one of them is left out. */
  private readonly down = new Set<SoakDaemon>();

  constructor(private readonly options: SoakOptions) {
    const { environment, folder, size = SMALL_FLEET } = options;
    const { form = SoakForm.Deployed, memoryMb = SMALL_MEMORY_MB } = options;
    this.faultKinds = form === SoakForm.Deployed ? DEPLOYED_FAULTS : COMMAND_FAULTS;
    this.fleet = new SoakFleet(environment, { folder, size, form, memoryMb });
    this.operator = new SoakOperator(environment, () => this.fleet.operatorAddresses);
    this.orders = new SoakOrders(environment, () => this.fleet.operatorAddresses);
  }

  async run(): Promise<SoakResult> {
    let evidence: LoadEvidence;
    try {
      await this.fleet.start();
      evidence = await this.load();
    } finally {
      this.failedStops.push(...(await this.fleet.stop()));
    }
    return this.judge(evidence);
  }

  private async load(): Promise<LoadEvidence> {
    const { environment, seed } = this.options;
    const { clock } = environment;
    const stopped = new AbortController();
    const { operator } = this;
    await operator.change(stopped.signal);
    await clock.sleep(SETTLE_MS);
    const random = seededRandom(seed, 'callers');
    const { headers } = this.fleet;
    const callers = new SoakCallers(environment, random, () => operator.newest, headers);
    const loads = [
      callers.run(this.fleet.gateways, CALL_INTERVAL_MS, stopped.signal),
      operator.run(stopped.signal),
      this.orders.run(stopped.signal),
    ];
    const faults = await this.strikeAll();
    await clock.sleep(SETTLE_MS);
    const endedAt = clock.now();
    stopped.abort();
    await Promise.all(loads);
    const addresses = this.fleet.operatorAddresses;
    const versions = await Promise.all(addresses.map((one) => operator.readBack(one)));
    const readBack = versions.filter((version) => version !== undefined);
    return { calls: callers.calls, faults, readBack, endedAt };
  }

  /** Strikes all faults of the run; the number of them. */
  private async strikeAll(): Promise<number> {
    const { seed, seconds } = this.options;
    const durationMs = seconds * MILLISECONDS_PER_SECOND - SETTLE_MS;
    const faults = planFaults(seededRandom(seed, 'faults'), durationMs, this.faultKinds);
    await Promise.all(faults.map((fault) => this.strike(fault)));
    return faults.length;
  }

  private judge({ calls, faults, readBack, endedAt }: LoadEvidence): SoakResult {
    const { seed, timed } = this.options;
    const { acknowledged } = this.operator;
    const { contradictions } = this.orders;
    const { replicas, headers, unexpectedEnds, peakBytes } = this.fleet;
    const { failedStops } = this;
    const seen = { calls, replicas, acknowledged, readBack, contradictions, endedAt };
    const evidence = { ...seen, failedStops, unexpectedEnds, headers };
    return {
      seed,
      faults,
      calls: calls.length,
      answered: calls.filter(({ answer }) => answer?.status === HTTP_OK).length,
      versions: acknowledged.length,
      orders: this.orders.count,
      peakBytes,
      violations: judgeSoak(evidence, timed),
    };
  }

  private async strike(fault: PlannedFault): Promise<void> {
    const { clock } = this.options.environment;
    await clock.sleep(fault.at);
    this.options.onFault?.(fault);
    const { gateways, controllers, controllerLinks, currentReplicas } = this.fleet;
    switch (fault.kind) {
      case SoakFault.KillGateway:
        return this.restart(pick(gateways, fault), fault);
      case SoakFault.KillController:
        return this.restart(pick(controllers, fault), fault);
      case SoakFault.FreezeGateway:
        return this.freeze(pick(gateways, fault), fault);
      case SoakFault.FreezeController:
        return this.freeze(pick(controllers, fault), fault);
      case SoakFault.StopGateway:
        return this.stopPlanned(pick(gateways, fault));
      case SoakFault.StopController:
        return this.stopPlanned(pick(controllers, fault));
      case SoakFault.RollGateways:
        return this.roll(gateways, fault);
      case SoakFault.StopInSeries:
        return this.stopInSeries(pick(gateways, fault), fault);
      case SoakFault.KillStoppingGateway:
        return this.killStopping(pick(gateways, fault), fault);
      case SoakFault.KillAllControllers:
        await Promise.all(controllers.map((controller) => this.restart(controller, fault)));
        return;
      case SoakFault.LoseControllerDisk:
        return this.loseDisks(controllers.slice(-1), fault);
      case SoakFault.StormOfChanges:
        return this.operator.storm(fault.durationMs);
      case SoakFault.ResetController:
        return this.disturb(pick(controllerLinks, fault), ProxyMode.Reset, fault);
      case SoakFault.CutController:
        return this.disturb(pick(controllerLinks, fault), ProxyMode.Silent, fault);
      case SoakFault.OneWayController:
        return this.disturb(pick(controllerLinks, fault), ProxyMode.OneWay, fault);
      case SoakFault.ResetReplica:
        return this.disturb(pick(currentReplicas, fault).proxy, ProxyMode.Reset, fault);
      case SoakFault.CutReplica:
        return this.disturb(pick(currentReplicas, fault).proxy, ProxyMode.Silent, fault);
      case SoakFault.CutAnswers:
        return this.disturb(pick(currentReplicas, fault).proxy, ProxyMode.CutAnswer, fault);
      case SoakFault.DrainReplica:
        return this.drain(pick(currentReplicas, fault));
      case SoakFault.LateHeartbeat:
        return this.fleet.registerLate(pick(currentReplicas, fault));
      case SoakFault.EndlessReplica:
        return this.sendWithoutEnd([pick(currentReplicas, fault)], fault);
      case SoakFault.EndlessReplicas:
        return this.sendWithoutEnd(currentReplicas, fault);
      default:
        return this.strikeDaemon(pick(this.daemonsFor(fault), fault), fault);
    }
  }

  private daemonsFor({ kind }: PlannedFault): readonly SoakDaemon[] {
    const { gateways, controllers } = this.fleet;
    if (kind === SoakFault.OverlapGateway) return gateways;
    if (kind === SoakFault.OverlapController) return controllers;
    return [...gateways, ...controllers];
  }

  /** What happens to a daemon that is stopped or started in an unusual way. */
  private async strikeDaemon(daemon: SoakDaemon, fault: PlannedFault): Promise<void> {
    const { clock } = this.options.environment;
    const { kind, durationMs } = fault;
    const pauseMs = durationMs / 2;
    await this.exclusively(daemon, async () => {
      switch (kind) {
        case SoakFault.OverlapGateway:
        case SoakFault.OverlapController:
          return this.noteStop(daemon, await daemon.overlap(clock, 1, pauseMs));
        case SoakFault.OverlapInSeries:
          return this.noteStop(daemon, await daemon.overlap(clock, 2, pauseMs));
        case SoakFault.StopTwice:
          this.noteStop(daemon, await daemon.stopTwice(clock, pauseMs));
          return daemon.start();
        case SoakFault.HalfSettingsAtStart:
          this.noteStop(daemon, await daemon.stop());
          return daemon.startDuringWrite(clock, pauseMs);
        case SoakFault.HalfSettings:
          return daemon.rewriteSettings(clock, pauseMs);
        case SoakFault.ReloadInSeries:
          this.noteStop(daemon, await daemon.stop());
          return daemon.startDuringReloads(clock, durationMs);
      }
    });
  }

  private noteStop(daemon: SoakDaemon, hasStopped: boolean): void {
    if (!hasStopped) this.failedStops.push(daemon.name);
  }

  private async sendWithoutEnd(
    replicas: readonly SoakReplica[],
    { durationMs, target }: PlannedFault,
  ): Promise<void> {
    const kind = ENDLESS_ANSWERS[target % ENDLESS_ANSWERS.length] as EndlessAnswer;
    for (const { proxy } of replicas) proxy.useEndless(kind);
    await this.options.environment.clock.sleep(durationMs);
    for (const { proxy } of replicas) proxy.useEndless(undefined);
  }

  private async restart(daemon: SoakDaemon, { durationMs }: PlannedFault): Promise<void> {
    await this.exclusively(daemon, async () => {
      await daemon.kill();
      await this.options.environment.clock.sleep(durationMs);
      await daemon.start();
    });
  }

  /** Each loss comes soon after the last one, before or after the controller is a member again. */
  private async loseDisks(
    daemons: readonly SoakDaemon[],
    { durationMs, target }: PlannedFault,
  ): Promise<void> {
    const { clock } = this.options.environment;
    const losses = 1 + (target % MAXIMUM_LOSSES);
    for (const daemon of daemons) {
      await this.exclusively(daemon, async () => {
        for (let loss = 0; loss < losses; loss += 1) {
          await daemon.loseDisk();
          await clock.sleep(durationMs / (2 * losses));
          await daemon.start();
          await clock.sleep(durationMs / (2 * losses));
        }
      });
    }
  }

  private async freeze(daemon: SoakDaemon, { durationMs }: PlannedFault): Promise<void> {
    await this.exclusively(daemon, async () => {
      daemon.freeze();
      await this.options.environment.clock.sleep(durationMs);
      daemon.thaw();
    });
  }

  private async stopPlanned(daemon: SoakDaemon): Promise<void> {
    await this.exclusively(daemon, async () => {
      if (!(await daemon.stop())) this.failedStops.push(daemon.name);
      await daemon.start();
    });
  }

  private async roll(daemons: readonly SoakDaemon[], { durationMs }: PlannedFault): Promise<void> {
    const stops: Promise<void>[] = [];
    for (const daemon of daemons) {
      stops.push(this.stopPlanned(daemon));
      await this.options.environment.clock.sleep(durationMs);
    }
    await Promise.all(stops);
  }

  private async stopInSeries(daemon: SoakDaemon, { durationMs }: PlannedFault): Promise<void> {
    const { clock } = this.options.environment;
    await this.exclusively(daemon, async () => {
      if (!(await daemon.stop())) this.failedStops.push(daemon.name);
      if (!(await daemon.startAndStop(clock, durationMs / 2))) this.failedStops.push(daemon.name);
      await daemon.start();
      if (!(await daemon.stop())) this.failedStops.push(daemon.name);
      await daemon.start();
    });
  }

  private async killStopping(daemon: SoakDaemon, { durationMs }: PlannedFault): Promise<void> {
    await this.exclusively(daemon, async () => {
      const stopped = daemon.stop();
      await this.options.environment.clock.sleep(durationMs / 2);
      await daemon.kill();
      await stopped;
      await daemon.start();
    });
  }

  private async exclusively(daemon: SoakDaemon, work: () => Promise<void>): Promise<void> {
    if (this.down.has(daemon)) return;
    this.down.add(daemon);
    try {
      await work();
    } finally {
      this.down.delete(daemon);
    }
  }

  private async disturb(
    proxy: LoopbackProxy,
    mode: ProxyMode,
    { durationMs }: PlannedFault,
  ): Promise<void> {
    proxy.use(mode);
    await this.options.environment.clock.sleep(durationMs);
    proxy.use(ProxyMode.Pass);
  }

  /** Another replica comes first, then this one says that it leaves, serves on for a while and ends. */
  private async drain(leaving: SoakReplica): Promise<void> {
    const { clock } = this.options.environment;
    const { replica } = leaving;
    await this.fleet.addReplica(replica.options.service);
    for (let attempt = 0; attempt < DRAIN_TRIES; attempt += 1) {
      if (await replica.drain()) {
        leaving.leftAt = clock.now();
        break;
      }
      await clock.sleep(DRAIN_PAUSE_MS);
    }
    await clock.sleep(SERVES_ON_MS);
    await replica.stop();
  }
}

function pick<T>(items: readonly T[], { target }: PlannedFault): T {
  const item = items[target % items.length];
  if (item === undefined) throw new RangeError('nothing to strike');
  return item;
}

/** Runs one soak; every process that it started has ended when this returns or throws. */
export function runSoak(options: SoakOptions): Promise<SoakResult> {
  return new SoakRun(options).run();
}
