/** The processes of a soak: controllers and gateways as programs of their own, replicas in this one. */
import { mkdir } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { PLATFORM_HEADERS } from '../../platform/platform-headers.js';
import {
  DEFAULT_EXCHANGE_HEADERS,
  type ExchangeHeaders,
} from '../../src/gateway/exchange-headers.js';
import { formatAddress, type Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { buildDeployed } from '../deployed/deployed-build.js';
import { DeployedFleet, ZONES, controllerLinkAddress } from '../deployed/deployed-fleet.js';
import { describeDeployedEnd, type DeployedEnd } from '../deployed/deployed-process.js';
import { ProcessGuard } from '../deployed/process-guard.js';
import { ExchangeReplica } from '../exchange/exchange-replica.js';
import { CommandMachine } from './command-machine.js';
import { callController } from './controller-call.js';
import { LoopbackProxy } from './loopback-proxy.js';
import { STOP_GRACE_MS, SoakDaemon } from './soak-daemon.js';
import {
  REPLICA_CONTENT,
  RETIRED_SERVICE,
  SHARDS,
  SINGLE_SERVICE,
  SLOW_SERVICE,
  SLOW_WORK_MS,
} from './soak-routes.js';

/** What is started as a daemon. */
export enum SoakForm {
  /** What `deploy/system.toml` builds and runs, with a bound on its memory. */
  Deployed = 'deployed',
  /** The package's own commands. */
  Commands = 'commands',
}

/** What the daemons of a soak are. */
export interface SoakFleetOptions {
  /** Settings, logs and data of the processes go here. */
  readonly folder: string;
  readonly size: SoakFleetSize;
  readonly form: SoakForm;
  /** Of each process of the deployed form. Megabytes. */
  readonly memoryMb: number;
}

/** How many processes a soak has. */
export interface SoakFleetSize {
  readonly controllers: number;
  readonly gateways: number;
}
export const SMALL_FLEET: SoakFleetSize = { controllers: 3, gateways: 3 };
const REPLICAS_PER_SERVICE = 2;
const REPLICAS_OF_SINGLE_SERVICE = 3;
/** Requests that each replica says it can run at a time. */
const REPLICA_CAPACITY = 8;
export const SMALL_MEMORY_MB = 250;
/**
 * An address of the loopback range of its own for each run: others cannot take the port of a
 * daemon that is down.
 */
const HOST = `127.${1 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 200)}.1`;
/** Ports are given out one after the other: nobody else listens at the host. */
const FIRST_PORT = 20_000;
const CLUSTER = { id: 'soak', key: 'processes-of-one-soak' };
/** Bounds of keys and limits that the run checks. */
export const REVOCATION_BOUND_MS = 5_000;
export const QUOTA = { windowMs: 5_000, overrun: 0.1, slack: 20 };
const TENANT_BOUNDS = { revocationBoundMs: REVOCATION_BOUND_MS, quota: QUOTA };

/** A replica behind its proxy. */
export interface SoakReplica {
  readonly replica: ExchangeReplica;
  readonly proxy: LoopbackProxy;
  /** When its leaving was acknowledged; undefined while it has not left. Clock reading. */
  leftAt: number | undefined;
  /** When a crashed replica last registered at its address; undefined if none did. Clock reading. */
  claimedAt: number | undefined;
}

/** See the module comment. */
export class SoakFleet {
  readonly controllers: SoakDaemon[] = [];
  readonly gateways: SoakDaemon[] = [];
  /** In front of the internal address of each controller. */
  readonly controllerLinks: LoopbackProxy[] = [];
  /** All that ever were. */
  readonly replicas: SoakReplica[] = [];
  private registration: readonly Address[] = [];
  private nextPort = FIRST_PORT;
  private crashedReplicas = 0;
  private readonly guard = new ProcessGuard();
  private readonly ends: DeployedEnd[] = [];
  private deployed: DeployedFleet | undefined;

  constructor(
    private readonly environment: Environment,
    private readonly options: SoakFleetOptions,
  ) {}

  async start(): Promise<void> {
    await mkdir(this.options.folder, { recursive: true });
    if (this.options.form === SoakForm.Deployed) await this.createDeployed();
    else await this.createCommands();
    await Promise.all(this.controllers.map((controller) => controller.start()));
    await Promise.all(this.gateways.map((gateway) => gateway.start()));
    this.deployed?.endFirstStart();
    for (const service of SHARDS) await this.addReplicas(service, REPLICAS_PER_SERVICE);
    await this.addReplicas(SINGLE_SERVICE, REPLICAS_OF_SINGLE_SERVICE);
    await this.addReplicas(SLOW_SERVICE, REPLICAS_OF_SINGLE_SERVICE);
  }

  /** Where the operator reaches the controllers. */
  get operatorAddresses(): readonly Address[] {
    return this.registration;
  }

  /** Names of the headers that travel with requests and answers. */
  get headers(): ExchangeHeaders {
    return this.options.form === SoakForm.Deployed ? PLATFORM_HEADERS : DEFAULT_EXCHANGE_HEADERS;
  }

  /** Replicas that have not left. */
  get currentReplicas(): readonly SoakReplica[] {
    return this.replicas.filter(({ leftAt }) => leftAt === undefined);
  }

  /** Processes that ended though nobody told them to, one text each. */
  get unexpectedEnds(): readonly string[] {
    const ends = this.deployed?.unexpectedEnds ?? this.ends.filter((end) => end.isUnexpected);
    return ends.map(describeDeployedEnd);
  }

  /** Highest memory of any process of the deployed form. Bytes. */
  get peakBytes(): number {
    return this.deployed?.peakBytes ?? 0;
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
      headers: this.headers,
      capacity: REPLICA_CAPACITY,
    });
    replica.content = REPLICA_CONTENT;
    if (service === SLOW_SERVICE) replica.workMs = SLOW_WORK_MS;
    await replica.start();
    this.replicas.push({ replica, proxy, leftAt: undefined, claimedAt: undefined });
  }

  /** Has a controller receive the only heartbeat of a replica that crashed at the address of another one. */
  async registerLate(claimed: SoakReplica): Promise<void> {
    const { environment, registration } = this;
    const { address, zone } = claimed.replica.options;
    this.crashedReplicas += 1;
    const body = JSON.stringify({
      service: RETIRED_SERVICE,
      address: formatAddress(address),
      zone,
      capacity: REPLICA_CAPACITY,
      state: 'ready',
      sequence: 1,
      warmupRemainingMs: 0,
    });
    const path = `/v1/replicas/crashed-${this.crashedReplicas}`;
    for (const controller of registration) {
      const response = await callController(environment, controller, { method: 'PUT', path, body });
      if (response === undefined) continue;
      claimed.claimedAt = environment.clock.now();
      return;
    }
  }

  /** Stops everything that was started, in the planned way; names of daemons that did not stop so. */
  async stop(): Promise<string[]> {
    const daemons = [...this.gateways, ...this.controllers];
    for (const daemon of daemons) daemon.thaw();
    const stops = await Promise.all(daemons.map((daemon) => daemon.stop()));
    await this.deployed?.stop();
    await this.guard.close();
    await Promise.all(this.replicas.map(({ replica }) => replica.stop()));
    const proxies = [...this.controllerLinks, ...this.replicas.map(({ proxy }) => proxy)];
    await Promise.all(proxies.map((proxy) => proxy.close()));
    return daemons.filter((_, index) => stops[index] === false).map(({ name }) => name);
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

  private async createDeployed(): Promise<void> {
    const { folder, size, memoryMb } = this.options;
    const links = Array.from({ length: size.controllers }, (_, at) => controllerLinkAddress(at));
    const deployed = new DeployedFleet({
      build: await buildDeployed(process.cwd()),
      folder: resolve(folder),
      ...size,
      memoryMb,
      graceMs: STOP_GRACE_MS,
      tenants: TENANT_BOUNDS,
      gatewaySeeds: links.map(({ host }) => host),
    });
    this.deployed = deployed;
    await deployed.prepare();
    this.registration = deployed.controllers.map(({ address }) => address);
    for (const [index, { messagesAddress }] of deployed.controllers.entries()) {
      const link = links[index] as Address;
      this.controllerLinks.push(await LoopbackProxy.start(messagesAddress, link));
    }
    for (const machine of deployed.controllers) this.controllers.push(new SoakDaemon(machine));
    for (const machine of deployed.gateways) this.gateways.push(new SoakDaemon(machine));
  }

  private async createCommands(): Promise<void> {
    await this.createControllers();
    this.createGateways();
  }

  private async createControllers(): Promise<void> {
    const { controllers } = this.options.size;
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
      this.add(this.controllers, 'controller', name, registration, {
        ...this.place(index),
        memberId: name,
        dataFolder: join(this.options.folder, name),
        initialMembers,
        listen: {
          http: formatAddress(http[index] as Address),
          messages: formatAddress(messages[index] as Address),
          registration: formatAddress(registration),
        },
      });
    }
  }

  private createGateways(): void {
    const { gateways } = this.options.size;
    const ports = this.freeAddresses(3 * gateways);
    const controllers = this.controllerLinks.map(({ address }) => formatAddress(address));
    for (let index = 0; index < gateways; index += 1) {
      const [http, health, messages] = ports.slice(3 * index) as [Address, Address, Address];
      const name = `gateway-${index}`;
      this.add(this.gateways, 'gateway', name, http, {
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
      tenants: TENANT_BOUNDS,
      log: { format: 'json' },
    };
  }

  private add(
    daemons: SoakDaemon[],
    command: 'controller' | 'gateway',
    name: string,
    address: Address,
    settings: object,
  ): void {
    const { folder } = this.options;
    const onEnd = (end: DeployedEnd): void => void this.ends.push(end);
    const { guard } = this;
    const options = { command, name, address, settings, folder, guard, onEnd };
    daemons.push(new SoakDaemon(new CommandMachine(options)));
  }
}
