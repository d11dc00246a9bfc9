/** The stand-in back ends of one process, by replica id. */
import type { ReplicaState } from '../../src/model/liveness-report.js';
import type { Environment } from '../../src/seams/environment.js';
import type { BackendLedger } from '../ledger/backend-ledger.js';
import type { PlatformMachine } from '../platform/platform-list.js';
import { Backend } from './backend.js';
import type { BackendAction, PublishRequest } from './backend-action.js';
import type { BackendOptions } from './backend-options.js';

/** Told of every change the platform would see. */
export type MachineObserver = (machine: PlatformMachine) => Promise<void>;

function stateAfter(action: BackendAction): ReplicaState | undefined {
  switch (action) {
    case 'drain':
      return 'draining';
    case 'stop':
    case 'crash':
      return 'gone';
    case 'restart':
      return 'live';
    case 'refuse':
    case 'accept':
      return undefined;
  }
}

/** Starts, finds and commands back ends. */
export class BackendGroup {
  private readonly backends = new Map<string, Backend>();

  private constructor(
    readonly ledger: BackendLedger,
    private readonly observe: MachineObserver,
  ) {}

  static async start(
    environment: Environment,
    ledger: BackendLedger,
    replicas: readonly BackendOptions[],
    observe: MachineObserver = async () => undefined,
  ): Promise<BackendGroup> {
    const group = new BackendGroup(ledger, observe);
    for (const options of replicas) {
      const backend = await Backend.start(environment, options);
      group.backends.set(options.replicaId, backend);
      await group.tell(backend, 'live');
    }
    return group;
  }

  find(replicaId: string): Backend | undefined {
    return this.backends.get(replicaId);
  }

  list(): Backend[] {
    return [...this.backends.values()];
  }

  /** Runs an action to its end; `stop` ends when the last request in flight was answered. */
  async act(backend: Backend, action: BackendAction): Promise<void> {
    if (action === 'drain' || action === 'stop') {
      backend.drain();
      await this.tell(backend, 'draining');
    }
    if (action !== 'drain') await backend[action]();
    const state = stateAfter(action);
    if (state !== undefined && action !== 'drain') await this.tell(backend, state);
  }

  /** Publishes to every replica of a service; returns how many. */
  publish(service: string, request: PublishRequest): number {
    const replicas = this.list().filter(({ options }) => options.service === service);
    for (const backend of replicas) backend.publish(request, request.shardIds);
    return replicas.length;
  }

  /** A planned stop of them all. */
  async stop(): Promise<void> {
    await Promise.all(this.list().map((backend) => this.act(backend, 'stop')));
  }

  private tell(backend: Backend, state: ReplicaState): Promise<void> {
    const { replicaId, incarnation } = backend;
    return this.observe({ replicaId, incarnation, state });
  }
}
