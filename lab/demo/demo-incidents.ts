/** What happens to the fleet while the demo's queries run, in order of time. */
import type { Environment } from '../../src/seams/environment.js';
import { BackendControlClient } from '../backend/backend-control-client.js';
import { LAYOUT_EPOCH, replicaName, shardName } from '../bench/deployment.js';
import type { Fleet } from '../fleet/fleet.js';
import type { FleetService } from '../fleet/fleet-file.js';
import type { DemoChange, DemoReplicas } from './demo-evidence.js';
import { repartition, type AtEveryProcess, type Repartition } from './repartition.js';
import { changeSetting, type Tell } from './settings-change.js';

export const STRAGGLER_FACTOR = 20;
const KILLED_CONTROLLER = 'controller-2';
/** Milliseconds from the first query. */
const STRAGGLE_AT = 1_000;
const DRAIN_AT = 2_000;
const CHANGE_AT = 3_000;
const KILL_AT = 4_500;
const PUBLISH_AT = 5_500;
const RESTART_AT = 6_500;
const REPARTITION_AT = 7_500;

/** The sharded services lose replicas: the first has a straggler, the last one that drains. */
function chooseReplicas(services: readonly FleetService[]): DemoReplicas {
  const sharded = services.filter(({ kind }) => kind === 'sharded');
  const [first, last] = [sharded[0], sharded.at(-1)];
  if (first === undefined || last === undefined) {
    throw new RangeError('the fleet has no sharded service');
  }
  return {
    straggling: replicaName(first.name, 0, 0),
    draining: replicaName(last.name, last.shards - 1, 1),
  };
}

/** Brings them about. */
export class DemoIncidents {
  readonly replicas: DemoReplicas;
  change: DemoChange | undefined;
  repartitioned: Repartition | undefined;

  constructor(
    private readonly environment: Environment,
    private readonly fleet: Fleet,
    private readonly tell: Tell,
  ) {
    this.replicas = chooseReplicas(fleet.terms.file.services);
  }

  /** Runs all of them. @throws Error when one cannot be brought about. */
  async run(signal: AbortSignal): Promise<void> {
    const start = this.environment.clock.now();
    const until = async (time: number): Promise<void> => {
      const wait = start + time - this.environment.clock.now();
      await this.environment.clock.sleep(Math.max(0, wait), signal);
    };
    await until(STRAGGLE_AT);
    await this.straggle();
    await until(DRAIN_AT);
    await this.drain();
    await until(CHANGE_AT);
    await this.changeSettings();
    await until(KILL_AT);
    await this.killController();
    await until(PUBLISH_AT);
    await this.publish();
    await until(RESTART_AT);
    await this.restartController();
    await until(REPARTITION_AT);
    await this.repartition();
  }

  /** Makes every replica of a service slow, so that its queries stay in flight. */
  async slowDown(service: string, factor: number): Promise<void> {
    await this.atEveryProcess(async (client) => {
      const replicas = await client.listReplicas();
      const chosen = replicas.filter((replica) => replica.service === service);
      for (const { replicaId } of chosen) {
        await client.setFault(replicaId, { kind: 'slow', factor });
      }
    });
  }

  /** Crashes every replica of the last shard of a service. */
  async loseShard(service: string): Promise<void> {
    const size = this.fleet.terms.file.services.find(({ name }) => name === service);
    if (size === undefined) throw new RangeError(`the fleet has no service ${service}`);
    const shard = size.shards - 1;
    for (let replica = 0; replica < size.replicasPerShard; replica += 1) {
      const replicaId = replicaName(service, shard, replica);
      await this.atReplica(replicaId, (client) => client.act(replicaId, 'crash'));
    }
    this.tell(`every replica of ${shardName(shard)} of ${service} crashed`);
  }

  private async straggle(): Promise<void> {
    const { straggling } = this.replicas;
    await this.atReplica(straggling, (client) =>
      client.setFault(straggling, { kind: 'slow', factor: STRAGGLER_FACTOR }),
    );
    this.tell(`${straggling} now works ${STRAGGLER_FACTOR} times slower`);
  }

  private async drain(): Promise<void> {
    const { draining } = this.replicas;
    await this.atReplica(draining, (client) => client.act(draining, 'drain'));
    this.tell(`${draining} now drains`);
  }

  private async changeSettings(): Promise<void> {
    const { operator } = this.fleet;
    const change = [this.firstService(), 'hedging', 'quantile'] as const;
    this.change = await changeSetting(operator, this.environment.clock, this.tell, change);
  }

  private async killController(): Promise<void> {
    await this.fleet.kill(KILLED_CONTROLLER);
    this.tell(`${KILLED_CONTROLLER} was killed with SIGKILL`);
  }

  private async restartController(): Promise<void> {
    await this.fleet.startController(KILLED_CONTROLLER);
    this.tell(`${KILLED_CONTROLLER} runs again on its data folder`);
  }

  private async publish(): Promise<void> {
    const service = this.firstService();
    const snapshot = { layoutEpoch: LAYOUT_EPOCH, indexVersion: 2 };
    await this.atEveryProcess((client) => client.publish(service, snapshot));
    this.tell(`${service} published index version 2`);
  }

  private async repartition(): Promise<void> {
    const { services } = this.fleet.terms.file;
    const service = services.findLast(({ kind }) => kind === 'sharded')?.name ?? '';
    const atEveryProcess: AtEveryProcess = (act) => this.atEveryProcess(act);
    this.repartitioned = await repartition(this.fleet, service, atEveryProcess, this.tell);
  }

  private firstService(): string {
    return this.fleet.terms.file.services[0]?.name ?? '';
  }

  private async atReplica(
    replicaId: string,
    act: (client: BackendControlClient) => Promise<unknown>,
  ): Promise<void> {
    await this.atEveryProcess(async (client) => {
      const replicas = await client.listReplicas();
      if (replicas.some((replica) => replica.replicaId === replicaId)) await act(client);
    });
  }

  private async atEveryProcess(
    act: (client: BackendControlClient) => Promise<unknown>,
  ): Promise<void> {
    for (const address of this.fleet.backendControls.values()) {
      const client = new BackendControlClient(this.environment.network, address);
      try {
        await act(client);
      } finally {
        client.close();
      }
    }
  }
}
