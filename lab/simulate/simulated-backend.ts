/** A stand-in back end of the fleet: a replica, its machine, and what it holds across restarts. */
import { Backend } from '../backend/backend.js';
import { DEFAULT_BACKEND_OPTIONS, type BackendOptions } from '../backend/backend-options.js';
import type { BackendLedger } from '../ledger/backend-ledger.js';
import type { PlatformList } from '../platform/platform-list.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { Simulation } from '../simulation/simulation.js';
import type { ReplicaDefinition } from '../../src/model/service-definition.js';
import { compareSnapshots, type Snapshot } from '../../src/model/snapshot.js';
import type { DurableEnvironment } from '../../src/seams/environment.js';
import { BACKEND_PORT } from '../bench/deployment.js';
import { ManagedProcess, type ProcessObserver } from './managed-process.js';
import type { Timeline } from './timeline.js';

/** What the back ends of a fleet share. */
export interface BackendContext {
  readonly simulation: Simulation;
  readonly timeline: Timeline;
  readonly ledger: BackendLedger;
  readonly platform: () => PlatformList | undefined;
}

/** Time from the announced drain to the stop. Milliseconds. */
const DRAIN_NOTICE = 6_000;

/** One replica of one service. */
export class SimulatedBackend {
  readonly process: ManagedProcess<{ backend: Backend; stop(): Promise<void> }>;
  private incarnation = 0;
  private snapshot: Snapshot = DEFAULT_BACKEND_OPTIONS.snapshot;

  constructor(
    private readonly context: BackendContext,
    readonly machine: SimulatedMachine,
    readonly service: string,
    private shardIds: readonly string[],
    private readonly replica: ReplicaDefinition,
  ) {
    const { simulation, timeline } = context;
    this.process = new ManagedProcess(
      simulation,
      machine,
      timeline,
      (environment) => this.start(environment),
      this.createObserver(),
    );
  }

  get replicaId(): string {
    return this.replica.replicaId;
  }

  /** Holds a further snapshot, at once if it runs and otherwise from its next start. */
  publish(snapshot: Snapshot, shardIds: readonly string[]): void {
    if (compareSnapshots(snapshot, this.snapshot) > 0) {
      this.snapshot = snapshot;
      this.shardIds = shardIds;
    }
    this.process.running?.backend.publish(snapshot, shardIds);
  }

  private createObserver(): ProcessObserver {
    return {
      onStarted: () => this.tellPlatform('live'),
      onStopping: () => this.tellPlatform('draining'),
      onCrashed: () => {
        this.context.ledger.recordEvent(this.replicaId, this.incarnation, 'crashed');
        this.tellPlatform('gone');
      },
    };
  }

  private tellPlatform(state: 'live' | 'draining' | 'gone'): void {
    const { replicaId, incarnation } = this;
    this.context.platform()?.set({ replicaId, incarnation, state });
  }

  private async start(
    environment: DurableEnvironment,
  ): Promise<{ backend: Backend; stop(): Promise<void> }> {
    const backend = await Backend.start(environment, this.options());
    this.incarnation = backend.incarnation;
    const stop = async (): Promise<void> => {
      backend.drain();
      await environment.clock.sleep(DRAIN_NOTICE);
      await backend.stop();
    };
    return { backend, stop };
  }

  private options(): BackendOptions {
    const { replicaId, slots, connections } = this.replica;
    return {
      ...DEFAULT_BACKEND_OPTIONS,
      address: { host: this.machine.host, port: BACKEND_PORT },
      replicaId,
      service: this.service,
      shardIds: this.shardIds,
      snapshot: this.snapshot,
      slots,
      connections,
      ledger: this.context.ledger,
    };
  }
}
