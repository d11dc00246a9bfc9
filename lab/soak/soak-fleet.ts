/** The processes of a soak: controllers and gateways as programs of their own, replicas in this one. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { formatAddress, type Address } from '../../src/seams/address.js';
import type { Clock } from '../../src/seams/clock.js';
import type { Environment } from '../../src/seams/environment.js';
import { ExchangeReplica } from '../exchange/exchange-replica.js';
import { FleetProcess } from '../fleet/fleet-process.js';
import { isPlannedEnd } from '../fleet/process-end.js';
import { programArguments } from '../fleet/program.js';
import { LoopbackProxy } from './loopback-proxy.js';
import { REPLICA_CONTENT, SHARDS, SINGLE_SERVICE } from './soak-routes.js';

/** How many processes a soak has. */
export interface SoakFleetSize {
  readonly controllers: number;
  readonly gateways: number;
}
export const SMALL_FLEET: SoakFleetSize = { controllers: 3, gateways: 3 };
const REPLICAS_PER_SERVICE = 2;
const REPLICAS_OF_SINGLE_SERVICE = 3;
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
/**
 * An address of the loopback range of its own for each run: others cannot take the port of a
 * daemon that is down.
 */
const HOST = `127.${1 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 200)}.1`;
/** Ports are given out one after the other: nobody else listens at the host. */
const FIRST_PORT = 20_000;
const CLUSTER = { id: 'soak', key: 'processes-of-one-soak' };
/** Daemons give requests in flight this long when they stop. Milliseconds. */
const STOP_GRACE_MS = 3_000;
/** A daemon that has not stopped by then hangs. Milliseconds. */
const STOP_PATIENCE_MS = STOP_GRACE_MS + 3_000;
/** A daemon that has not started by then fails the run. Milliseconds. */
const START_TIMEOUT_MS = 30_000;
/** Bounds of keys and limits that the run checks. */
export const REVOCATION_BOUND_MS = 5_000;
export const QUOTA = { windowMs: 5_000, overrun: 0.1, slack: 20 };

type Command = 'controller' | 'gateway';

/** A controller or gateway, over all its processes. */
export class SoakDaemon {
  private process: FleetProcess | undefined;
  /** Whether the process that runs now was told to stop. */
  isStopping = false;
  /** How often a process was killed, also because it hung. */
  kills = 0;

  constructor(
    readonly command: Command,
    readonly name: string,
    /** Where callers or the operator reach it. */
    readonly address: Address,
    private readonly settingsFile: string,
    private readonly folder: string,
  ) {}

  async start(): Promise<void> {
    const process = this.spawn();
    const line = this.command === 'gateway' ? 'gateway listening' : 'controller started';
    await process.waitFor(line, AbortSignal.timeout(START_TIMEOUT_MS));
  }

  /**
   * Starts a process and tells it to stop after a while, listening or not; whether it ended in time,
   * by itself or by the signal.
   */
  async startAndStop(clock: Clock, afterMs: number): Promise<boolean> {
    const process = this.spawn();
    await clock.sleep(afterMs);
    this.isStopping = true;
    const end = await process.stop(STOP_PATIENCE_MS);
    if (end.hung) this.kills += 1;
    return isPlannedEnd(end) || end.signal === 'SIGTERM';
  }

  async kill(): Promise<void> {
    this.kills += 1;
    await this.process?.kill();
  }

  freeze(): void {
    this.process?.freeze();
  }

  thaw(): void {
    this.process?.thaw();
  }

  /** A planned stop; whether the process ended by itself in time and without an error. */
  async stop(): Promise<boolean> {
    this.isStopping = true;
    const end = await this.process?.stop(STOP_PATIENCE_MS);
    if (end?.hung === true) this.kills += 1;
    return end === undefined || isPlannedEnd(end);
  }

  private spawn(): FleetProcess {
    this.isStopping = false;
    const commandLine = [this.command, '--config', this.settingsFile];
    this.process = new FleetProcess({
      name: this.name,
      nodeArguments: programArguments('driftway', commandLine),
      logFile: join(this.folder, `${this.name}.log`),
    });
    return this.process;
  }
}

/** A replica behind its proxy. */
export interface SoakReplica {
  readonly replica: ExchangeReplica;
  readonly proxy: LoopbackProxy;
  /** When its leaving was acknowledged; undefined while it has not left. Clock reading. */
  leftAt: number | undefined;
}

/** See the module comment. */
export class SoakFleet {
  readonly controllers: SoakDaemon[] = [];
  readonly gateways: SoakDaemon[] = [];
  /** In front of the internal address of each controller. */
  readonly controllerLinks: LoopbackProxy[] = [];
  /** All that ever were. */
  readonly replicas: SoakReplica[] = [];
  private registration: Address[] = [];
  private nextPort = FIRST_PORT;

  constructor(
    private readonly environment: Environment,
    private readonly folder: string,
    private readonly size: SoakFleetSize,
  ) {}

  async start(): Promise<void> {
    await mkdir(this.folder, { recursive: true });
    await this.createControllers();
    await this.createGateways();
    await Promise.all(this.controllers.map((controller) => controller.start()));
    await Promise.all(this.gateways.map((gateway) => gateway.start()));
    for (const service of SHARDS) await this.addReplicas(service, REPLICAS_PER_SERVICE);
    await this.addReplicas(SINGLE_SERVICE, REPLICAS_OF_SINGLE_SERVICE);
  }

  /** Where the operator reaches the controllers. */
  get operatorAddresses(): readonly Address[] {
    return this.registration;
  }

  /** Replicas that have not left. */
  get currentReplicas(): readonly SoakReplica[] {
    return this.replicas.filter(({ leftAt }) => leftAt === undefined);
  }

  async addReplica(service: string): Promise<void> {
    const { environment, registration } = this;
    const number = this.replicas.length;
    const listenAt = this.freeAddress();
    const proxy = await LoopbackProxy.start(listenAt, this.freeAddress());
    const replica = new ExchangeReplica(environment, {
      replicaId: `replica-${number}`,
      service,
      address: proxy.address,
      listenAt,
      zone: ZONES[number % ZONES.length] as string,
      controllers: registration,
    });
    replica.content = REPLICA_CONTENT;
    await replica.start();
    this.replicas.push({ replica, proxy, leftAt: undefined });
  }

  /** Stops everything that was started, in the planned way. */
  async stop(): Promise<void> {
    const daemons = [...this.gateways, ...this.controllers];
    for (const daemon of daemons) daemon.thaw();
    await Promise.all(daemons.map((daemon) => daemon.stop()));
    await Promise.all(this.replicas.map(({ replica }) => replica.stop()));
    const proxies = [...this.controllerLinks, ...this.replicas.map(({ proxy }) => proxy)];
    await Promise.all(proxies.map((proxy) => proxy.close()));
  }

  private freeAddress(): Address {
    const port = this.nextPort;
    this.nextPort += 1;
    return { host: HOST, port };
  }

  private freeAddresses(count: number): Address[] {
    return Array.from({ length: count }, () => this.freeAddress());
  }

  private async addReplicas(service: string, count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) await this.addReplica(service);
  }

  private async createControllers(): Promise<void> {
    const { controllers } = this.size;
    const messages = this.freeAddresses(controllers);
    const http = this.freeAddresses(controllers);
    this.registration = this.freeAddresses(controllers);
    for (const address of messages)
      this.controllerLinks.push(await LoopbackProxy.start(address, this.freeAddress()));
    const initialMembers = this.controllerLinks.map(({ address }, index) => ({
      memberId: `controller-${index}`,
      zone: ZONES[index % ZONES.length],
      address: formatAddress(address),
    }));
    for (let index = 0; index < controllers; index += 1) {
      const name = `controller-${index}`;
      const registration = this.registration[index] as Address;
      await this.add(this.controllers, 'controller', name, registration, {
        ...this.place(index),
        memberId: name,
        dataFolder: join(this.folder, name),
        initialMembers,
        listen: {
          http: formatAddress(http[index] as Address),
          messages: formatAddress(messages[index] as Address),
          registration: formatAddress(registration),
        },
      });
    }
  }

  private async createGateways(): Promise<void> {
    const { gateways } = this.size;
    const ports = this.freeAddresses(3 * gateways);
    const controllers = this.controllerLinks.map(({ address }) => formatAddress(address));
    for (let index = 0; index < gateways; index += 1) {
      const [http, health, messages] = ports.slice(3 * index) as [Address, Address, Address];
      const name = `gateway-${index}`;
      await this.add(this.gateways, 'gateway', name, http, {
        ...this.place(index),
        name,
        listen: {
          http: formatAddress(http),
          health: formatAddress(health),
          messages: formatAddress(messages),
        },
        controllers,
        aggregation: { divideAbove: 2, shardsPerGroup: 2 },
        stopGraceMs: STOP_GRACE_MS,
      });
    }
  }

  private place(index: number): object {
    return {
      region: 'soak',
      zone: ZONES[index % ZONES.length],
      cluster: CLUSTER,
      tenants: { revocationBoundMs: REVOCATION_BOUND_MS, quota: QUOTA },
      log: { format: 'json' },
    };
  }

  private async add(
    daemons: SoakDaemon[],
    command: Command,
    name: string,
    address: Address,
    settings: object,
  ): Promise<void> {
    const path = join(this.folder, `${name}.yaml`);
    await writeFile(path, JSON.stringify(settings, undefined, 2));
    daemons.push(new SoakDaemon(command, name, address, path, this.folder));
  }
}
