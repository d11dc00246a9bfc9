/** Controllers and gateways of one deployment as real processes, each at a loopback address of its own. */
import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { PlatformRole } from '../../platform/platform-settings.js';
import {
  SETTINGS_PATH_VARIABLE,
  readinessAddressOf,
  serviceAddressOf,
  messagesAddressOf,
  writePlatformSettings,
  type DaemonPlace,
  type TenantBounds,
} from '../../platform/settings-writer.js';
import type { Address } from '../../src/seams/address.js';
import type { DeployedBuild } from './deployed-build.js';
import { DeployedProcess, type DeployedEnd } from './deployed-process.js';
import { ProcessGuard } from './process-guard.js';

/** What to run. */
export interface DeployedFleetOptions {
  readonly build: DeployedBuild;
  /** Settings, logs and data of the processes go here. */
  readonly folder: string;
  readonly controllers: number;
  readonly gateways: number;
  /** Megabytes that a process may use; {@link DEFAULT_MEMORY_MB} when absent. */
  readonly memoryMb?: number;
  /** {@link DEFAULT_GRACE_MS} when absent. */
  readonly graceMs?: number;
  readonly tenants?: TenantBounds;
  /** IP addresses that gateways know as the seeds; those of the controllers when absent. */
  readonly gatewaySeeds?: readonly string[];
}

export const DEFAULT_MEMORY_MB = 350;
export const DEFAULT_GRACE_MS = 6_000;
/** A daemon that has not stopped this long after the grace period hangs. Milliseconds. */
const STOP_SLACK_MS = 4_000;
const START_TIMEOUT_MS = 30_000;
/** Message of a daemon that runs. */
const STARTED = 'daemon started';
const BYTES_PER_MEGABYTE = 1_000_000;
const REGION = 'pnw';
export const ZONES = ['pnw-a', 'pnw-b', 'pnw-c'] as const;
const ADDRESSES_PER_OCTET = 200;
const OCTETS = [process.pid, Math.floor(process.pid / ADDRESSES_PER_OCTET)];
/** Daemons of other runs on this machine have other addresses. */
const NETWORK = ['127', ...OCTETS.map((octet) => 1 + (octet % ADDRESSES_PER_OCTET))].join('.');
/** Last octets. */
const FIRST_CONTROLLER = 10;
const FIRST_LINK = 20;
const FIRST_GATEWAY = 30;
/** Replicas listen at one address, each at a port of its own. */
export const REPLICA_HOST = `${NETWORK}.2`;

/** Where a proxy in front of the controller of this number may listen for its peers. */
export function controllerLinkAddress(index: number): Address {
  return messagesAddressOf(`${NETWORK}.${FIRST_LINK + index}`);
}

/** A daemon's machine, over all processes that run on it. */
export class DeployedDaemon {
  /** Where callers of a gateway, or replicas and operators of a controller, reach it. */
  readonly address: Address;
  /** Where a gateway tells whether it is ready. */
  readonly readiness: Address;
  /** All that were started on it. */
  readonly processes: DeployedProcess[] = [];

  constructor(
    readonly place: DaemonPlace,
    private readonly settingsFile: string,
    private readonly settings: () => string,
    /** Empty for a gateway. */
    private readonly dataFolder: string,
    private readonly launch: (place: DaemonPlace, settingsFile: string) => DeployedProcess,
  ) {
    this.address = serviceAddressOf(place);
    this.readiness = readinessAddressOf(place);
  }

  get name(): string {
    return this.place.name;
  }

  /** The newest process. @throws Error before the first start. */
  get process(): DeployedProcess {
    const newest = this.processes.at(-1);
    if (newest === undefined) throw new Error(`${this.name} was never started`);
    return newest;
  }

  /** The whole text of its settings. */
  get settingsText(): string {
    return this.settings();
  }

  /** Leaves this text in the settings file. */
  async writeSettings(text: string): Promise<void> {
    await writeFile(this.settingsFile, text);
  }

  /** Where its peers reach it. */
  get messagesAddress(): Address {
    return messagesAddressOf(this.place.ip);
  }

  /** Empties its data folder; no process may run. */
  async loseDisk(): Promise<void> {
    await rm(this.dataFolder, { recursive: true, force: true });
    await mkdir(this.dataFolder, { recursive: true });
  }

  /** Starts a process on whatever the settings file holds; it may still fail to start. */
  spawn(): DeployedProcess {
    const process = this.launch(this.place, this.settingsFile);
    this.processes.push(process);
    return process;
  }

  /** Starts a process and waits until its daemon runs. */
  async start(): Promise<DeployedProcess> {
    await this.writeSettings(this.settingsText);
    const process = this.spawn();
    await untilStarted(process);
    return process;
  }
}

/** Waits until the process's daemon runs, unless it does already. @throws Error when it ends first. */
export async function untilStarted(process: DeployedProcess): Promise<void> {
  if (process.hasSaid(STARTED)) return;
  await process.waitFor(STARTED, AbortSignal.timeout(START_TIMEOUT_MS));
}

/** See the module comment. */
export class DeployedFleet {
  readonly controllers: DeployedDaemon[];
  readonly gateways: DeployedDaemon[];
  private readonly guard = new ProcessGuard();
  private readonly ends: DeployedEnd[] = [];
  private isFirstStart = true;

  constructor(private readonly options: DeployedFleetOptions) {
    const { controllers, gateways } = options;
    this.controllers = this.daemons(PlatformRole.Controller, controllers, FIRST_CONTROLLER);
    this.gateways = this.daemons(PlatformRole.Gateway, gateways, FIRST_GATEWAY);
  }

  /** Longest time that a planned stop may take. Milliseconds. */
  get stopPatienceMs(): number {
    return this.graceMs + STOP_SLACK_MS;
  }

  /** Processes that ended though nobody told them to. */
  get unexpectedEnds(): readonly DeployedEnd[] {
    return this.ends.filter(({ isUnexpected }) => isUnexpected);
  }

  /** Highest memory of any process. Bytes. */
  get peakBytes(): number {
    const processes = [...this.controllers, ...this.gateways].flatMap(({ processes: all }) => all);
    return Math.max(...processes.map(({ peakBytes }) => peakBytes));
  }

  /** Creates the folders that a deployment provides. */
  async prepare(): Promise<void> {
    const folders = this.controllers.map(({ place }) => this.dataFolderOf(place));
    for (const folder of [this.options.folder, ...folders])
      await mkdir(folder, { recursive: true });
  }

  async start(): Promise<void> {
    await this.prepare();
    await Promise.all([...this.controllers, ...this.gateways].map((daemon) => daemon.start()));
  }

  /** Processes that start from now on join what runs. */
  endFirstStart(): void {
    this.isFirstStart = false;
  }

  /** Ends what still runs, in the planned way where it can. */
  async stop(): Promise<void> {
    const daemons = [...this.gateways, ...this.controllers];
    const processes = daemons.flatMap(({ processes: all }) => all);
    for (const process of processes) process.notify('SIGCONT');
    await Promise.all(processes.map((process) => process.stop(this.stopPatienceMs)));
    await this.guard.close();
  }

  private get graceMs(): number {
    return this.options.graceMs ?? DEFAULT_GRACE_MS;
  }

  private get memoryMb(): number {
    return this.options.memoryMb ?? DEFAULT_MEMORY_MB;
  }

  private daemons(role: PlatformRole, count: number, firstOctet: number): DeployedDaemon[] {
    return Array.from({ length: count }, (_, index) => {
      const zone = ZONES[index % ZONES.length] as string;
      const ip = `${NETWORK}.${firstOctet + index}`;
      const name = `${role}-${index}`;
      const settingsFile = join(this.options.folder, `${name}.json`);
      const place = { role, name, ip, zone };
      return new DeployedDaemon(
        place,
        settingsFile,
        () => this.settingsOf(place),
        role === PlatformRole.Controller ? this.dataFolderOf(place) : '',
        (...start) => this.launch(...start),
      );
    });
  }

  private dataFolderOf({ name }: DaemonPlace): string {
    return join(this.options.folder, `data-${name}`);
  }

  private settingsOf(place: DaemonPlace): string {
    const { memoryMb, graceMs } = this;
    const isController = place.role === PlatformRole.Controller;
    const dataFolder = isController ? this.dataFolderOf(place) : undefined;
    const { tenants, gatewaySeeds } = this.options;
    const controllers = this.controllers.map(({ place: { ip } }) => ip);
    const terms = {
      region: REGION,
      zones: ZONES,
      seeds: isController ? controllers : (gatewaySeeds ?? controllers),
      memoryMb,
      graceMs,
      firstStart: this.isFirstStart,
      ...(tenants === undefined ? {} : { tenants }),
    };
    return writePlatformSettings(place, terms, dataFolder);
  }

  private launch({ role, name }: DaemonPlace, settingsFile: string): DeployedProcess {
    const { build, folder } = this.options;
    const [program, ...nodeArguments] = build.file.run.get(role)?.split(' ') ?? [];
    if (program !== 'node') throw new Error(`expected a run line of ${role} that starts node`);
    const started = new DeployedProcess({
      name,
      nodeArguments,
      environment: { PATH: process.env['PATH'] ?? '', [SETTINGS_PATH_VARIABLE]: settingsFile },
      folder: build.folder,
      logFile: join(folder, `${name}.log`),
      memoryLimitBytes: this.memoryMb * BYTES_PER_MEGABYTE,
      guard: this.guard,
    });
    void started.ended.then((end) => this.ends.push(end));
    return started;
  }
}
