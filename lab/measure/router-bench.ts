/** The processes of one router measurement: back ends, bare client, router and load. */
import type { BackendChildOperations } from './backend-child.js';
import type { BareClientOperations } from './bare-client-child.js';
import { MeasuredChild } from './child-process.js';
import type { LoadChildOperations } from './load-child.js';
import { measuredConfiguration } from './measured-service.js';
import type { RouterChildOperations } from './router-child.js';

/** Sizes of a bench. */
export interface BenchOptions {
  /** Shards, each on one replica of its own. */
  readonly fanOut: number;
  /** Back-end processes that the replicas are spread over. */
  readonly backendProcesses: number;
  /** Connections that each replica accepts. */
  readonly connections: number;
  /** Milliseconds. */
  readonly serviceTime: number;
  readonly routerFlags?: readonly string[];
}

/** Running processes; {@link RouterBench.stop} ends them all. */
export class RouterBench {
  readonly bareClient = new MeasuredChild<BareClientOperations>({
    module: new URL('./bare-client-child.js', import.meta.url),
  });
  readonly load = new MeasuredChild<LoadChildOperations>({
    module: new URL('./load-child.js', import.meta.url),
  });
  readonly router: MeasuredChild<RouterChildOperations>;
  private readonly backends: MeasuredChild<BackendChildOperations>[] = [];
  ports: number[] = [];
  routerPort = 0;

  private constructor(private readonly options: BenchOptions) {
    this.router = new MeasuredChild<RouterChildOperations>({
      module: new URL('./router-child.js', import.meta.url),
      ...(options.routerFlags === undefined ? {} : { nodeFlags: options.routerFlags }),
    });
  }

  static async start(options: BenchOptions): Promise<RouterBench> {
    const bench = new RouterBench(options);
    try {
      await bench.startBackends();
      const state = measuredConfiguration(bench.ports, options.connections);
      bench.routerPort = await bench.router.call('start', state);
      return bench;
    } catch (error) {
      await bench.stop();
      throw error;
    }
  }

  async stop(): Promise<void> {
    const children = [this.load, this.bareClient, this.router, ...this.backends];
    await Promise.all(children.map((child) => child.stop()));
  }

  private async startBackends(): Promise<void> {
    const { fanOut, backendProcesses, connections, serviceTime } = this.options;
    const perProcess = Math.ceil(fanOut / backendProcesses);
    for (let firstIndex = 0; firstIndex < fanOut; firstIndex += perProcess) {
      const child = new MeasuredChild<BackendChildOperations>({
        module: new URL('./backend-child.js', import.meta.url),
      });
      this.backends.push(child);
      const count = Math.min(perProcess, fanOut - firstIndex);
      const ports = await child.call('start', { firstIndex, count, connections, serviceTime });
      this.ports.push(...ports);
    }
  }
}
