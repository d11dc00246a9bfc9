/** What a load balancer in front of the routers knows: which of them say that they are stopping. */
import type { Environment } from '../../src/seams/environment.js';
import type { HttpClient } from '../../src/seams/http.js';
import type { Fleet } from './fleet.js';
import type { ManagedProcess } from './managed-process.js';
import type { SimulatedRouter } from './simulated-daemons.js';

const PROBE_INTERVAL = 1_000;
const PROBE_TIMEOUT = 500;
const STATUS_UNAVAILABLE = 503;
const STOPPING = 'stopping';

/** Probes `/readyz` of every router once a second. */
export class ReadinessProbes {
  private readonly stopping = new Set<string>();

  constructor(
    private readonly fleet: Fleet,
    private readonly environment: Environment,
  ) {}

  /** Probes until `end`. Virtual milliseconds. */
  run(end: number): void {
    for (const router of this.fleet.routers) void this.watch(router, end);
  }

  /** Routers that no probe found stopping. */
  usable(): readonly ManagedProcess<SimulatedRouter>[] {
    return this.fleet.routers.filter(({ name }) => !this.stopping.has(name));
  }

  private async watch(router: ManagedProcess<SimulatedRouter>, end: number): Promise<void> {
    const client = this.environment.network.httpClient(this.fleet.routerAddress(router), {
      connections: 1,
      maximumResponseBytes: 1_024,
      connectTimeout: PROBE_TIMEOUT,
      keepAliveTimeout: PROBE_INTERVAL / 2,
    });
    while (this.fleet.simulation.now < end) {
      const stopping = await this.probe(client);
      if (stopping === true) this.stopping.add(router.name);
      if (stopping === false) this.stopping.delete(router.name);
      await this.environment.clock.sleep(PROBE_INTERVAL);
    }
  }

  /** Undefined when there is no answer. */
  private async probe(client: HttpClient): Promise<boolean | undefined> {
    const timeout = new AbortController();
    const { clock } = this.environment;
    const timer = clock.setTimer(PROBE_TIMEOUT, () => timeout.abort(new Error('timeout')));
    try {
      const { signal } = timeout;
      const request = { method: 'GET', path: '/readyz', headers: {}, signal };
      const { status, body } = await client.request(request);
      const reason = Buffer.from(body).toString('utf8').trim();
      return status === STATUS_UNAVAILABLE && reason === STOPPING;
    } catch {
      return undefined;
    } finally {
      timer.cancel();
    }
  }
}
