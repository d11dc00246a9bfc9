/** A whole fleet of real processes on this machine. */
import { randomBytes } from 'node:crypto';
import { mkdir, readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { formatAddress, parseAddress, type Address } from '../../src/seams/address.js';
import type { Clock } from '../../src/seams/clock.js';
import { createTokenText } from '../../src/settings/token-text.js';
import type { BackendEvidence } from '../auditor/audit-evidence.js';
import { dealReplicas, inTurn } from './fleet-layout.js';
import type { FleetFile } from './fleet-file.js';
import { FleetProcess, type LogLine } from './fleet-process.js';
import { findFreePorts } from './free-ports.js';
import { Operator } from './operator.js';
import type { ProcessEnd } from './process-end.js';
import type { ProcessRecord } from './process-record.js';
import { programArguments, type Program } from './program.js';
import {
  ledgerFileOf,
  writeBackendFile,
  writeControllerFile,
  writeRouterFile,
  type ControllerPlace,
  type FleetTerms,
} from './settings-files.js';

const CLUSTER_KEY_BYTES = 24;
/** Longest planned stop of one group of processes before what is left is killed. Milliseconds. */
export const STOP_PATIENCE = 12_000;

/** A router as callers reach it. */
export interface FleetRouter {
  readonly name: string;
  readonly address: Address;
}

function addressIn({ context, message }: LogLine, field: string): Address {
  const text = context[field];
  if (typeof text !== 'string') throw new Error(`"${message}" names no ${field}`);
  return parseAddress(text);
}

/** Starts the processes, and stops those of them that run. */
export class Fleet {
  readonly operator: Operator;
  readonly routers: FleetRouter[] = [];
  /** Control ports of the back-end processes, by process name. */
  readonly backendControls = new Map<string, Address>();
  private readonly started: string[] = [];
  private readonly ends: ProcessEnd[] = [];
  private readonly killed: string[] = [];
  private readonly processes = new Map<string, FleetProcess>();
  private platformList: Address | undefined;

  private constructor(
    readonly terms: FleetTerms,
    /** Ends the start. */
    private readonly signal: AbortSignal,
  ) {
    const addresses = terms.controllers.map(({ http }) => http);
    this.operator = new Operator(addresses, terms.token, signal);
  }

  /**
   * Plans a fleet whose files go to `folder`; nothing runs yet.
   *
   * @throws RangeError when anything is in the folder: every fleet starts afresh.
   */
  static async plan(file: FleetFile, folder: string, signal: AbortSignal): Promise<Fleet> {
    await mkdir(folder, { recursive: true });
    if ((await readdir(folder)).length > 0) throw new RangeError(`${folder} is not empty`);
    const ports = await findFreePorts(2 * file.controllers);
    const controllers = Array.from({ length: file.controllers }, (_, index): ControllerPlace => ({
      memberId: `controller-${index + 1}`,
      zone: inTurn(file.zones, index),
      http: inTurn(ports, 2 * index),
      messages: inTurn(ports, 2 * index + 1),
    }));
    const clusterKey = randomBytes(CLUSTER_KEY_BYTES).toString('base64url');
    const token = createTokenText('fleet');
    return new Fleet({ file, folder, clusterKey, token, controllers }, signal);
  }

  /** What became of all processes so far. */
  get record(): ProcessRecord {
    const { started, ends, killed } = this;
    return { started, ends, killed };
  }

  /** Names of the processes that run now. */
  get running(): string[] {
    return [...this.processes.values()].filter((each) => each.isRunning).map(({ name }) => name);
  }

  /**
   * Starts everything; the configuration is still empty.
   *
   * @throws Error when a process ends instead, or the signal aborts; stop the fleet then too.
   */
  async start(): Promise<void> {
    await this.startPlatformList();
    const { controllers, file } = this.terms;
    // Before anything else asks the system for ports: theirs were free a moment ago.
    await Promise.all(controllers.map(({ memberId }) => this.startController(memberId)));
    await Promise.all(
      dealReplicas(file).map((replicas, index) => this.startBackends(index + 1, replicas)),
    );
    const routers = Array.from({ length: file.routers }, (_, index) => this.startRouter(index));
    this.routers.push(...(await Promise.all(routers)));
  }

  /** Starts a controller for the first time, or again on its data folder. */
  async startController(memberId: string): Promise<void> {
    const place = this.terms.controllers.find((controller) => controller.memberId === memberId);
    if (place === undefined || this.platformList === undefined) {
      throw new RangeError(`there is no controller ${memberId} to start`);
    }
    const config = await writeControllerFile(this.terms, place, this.platformList);
    const process = this.launch(memberId, 'driftway', ['controller', '--config', config]);
    await process.waitFor('controller started', this.signal);
  }

  /** Resolves when any process ends, or the signal aborts. */
  async firstEnd(signal: AbortSignal): Promise<void> {
    const aborted = new Promise((resolve) => {
      signal.addEventListener('abort', resolve, { once: true });
    });
    if (signal.aborted) return;
    await Promise.race([aborted, ...[...this.processes.values()].map(({ ended }) => ended)]);
  }

  /** Ends a process without warning. */
  async kill(name: string): Promise<void> {
    this.killed.push(name);
    await this.process(name).kill();
  }

  /** Freezes a process for a time. Milliseconds. */
  async freeze(name: string, duration: number, clock: Clock): Promise<void> {
    const frozen = this.process(name);
    frozen.freeze();
    try {
      await clock.sleep(duration, this.signal);
    } finally {
      frozen.thaw();
    }
  }

  /** A planned stop of one process. */
  stopOne(name: string): Promise<ProcessEnd> {
    return this.process(name).stop(STOP_PATIENCE);
  }

  /** Waits for a log line of one process, see `FleetProcess.waitFor`. */
  waitForLine(name: string, message: string): Promise<LogLine> {
    return this.process(name).waitFor(message, this.signal);
  }

  /** A planned stop of everything: routers first, so that they finish what they have. */
  async stop(): Promise<void> {
    await this.stopWhere((name) => name.startsWith('router-'));
    await this.stopWhere(() => true);
  }

  /** What the back ends noted; complete once they have stopped. */
  async readLedgers(): Promise<BackendEvidence> {
    const names = [...this.backendControls.keys()];
    const ledgers = await Promise.all(
      names.map(async (name) => {
        const text = await readFile(ledgerFileOf(this.terms.folder, name), 'utf8');
        return JSON.parse(text) as BackendEvidence;
      }),
    );
    return {
      entries: ledgers.flatMap(({ entries }) => entries),
      events: ledgers.flatMap(({ events }) => events),
      holdings: ledgers.flatMap(({ holdings }) => holdings),
    };
  }

  private async startPlatformList(): Promise<void> {
    const lag = String(this.terms.file.platformLag);
    const process = this.launch('platform', 'driftway-lab', ['platform', '--json', '--lag', lag]);
    const line = await process.waitFor('listening', this.signal);
    this.platformList = addressIn(line, 'http');
  }

  private async startBackends(
    number: number,
    replicas: Parameters<typeof writeBackendFile>[2],
  ): Promise<void> {
    const name = `backends-${number}`;
    if (this.platformList === undefined) throw new RangeError('no platform list yet');
    const file = await writeBackendFile(this.terms, name, replicas, this.platformList);
    const process = this.launch(name, 'driftway-lab', ['backend', '--json', '--file', file]);
    const line = await process.waitFor('listening', this.signal);
    this.backendControls.set(name, addressIn(line, 'control'));
  }

  private async startRouter(index: number): Promise<FleetRouter> {
    const name = `router-${index + 1}`;
    const config = await writeRouterFile(this.terms, name, index);
    const process = this.launch(name, 'driftway', ['router', '--config', config]);
    const line = await process.waitFor('router listening', this.signal);
    return { name, address: addressIn(line, 'http') };
  }

  private launch(name: string, program: Program, commandLine: readonly string[]): FleetProcess {
    this.signal.throwIfAborted();
    const logFile = join(this.terms.folder, `${name}.log`);
    const nodeArguments = programArguments(program, commandLine);
    const process = new FleetProcess({ name, nodeArguments, logFile });
    this.processes.set(name, process);
    this.started.push(name);
    void process.ended.then((end) => this.ends.push(end));
    return process;
  }

  private process(name: string): FleetProcess {
    const process = this.processes.get(name);
    if (process === undefined) throw new RangeError(`there is no process ${name}`);
    return process;
  }

  private async stopWhere(matches: (name: string) => boolean): Promise<void> {
    const chosen = this.running.filter(matches);
    await Promise.all(chosen.map((name) => this.stopOne(name)));
  }
}

/** Where the router is, as a person types it. */
export function describeRouter({ name, address }: FleetRouter): string {
  return `${name} ${formatAddress(address)}`;
}
