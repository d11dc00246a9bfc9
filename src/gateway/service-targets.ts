/** The replicas of every service, kept in step with the directory. */
import { observe } from '../control-stream/observe.js';
import type { ReplicaDirectory } from '../directory/replica-directory.js';
import { RegisteredState, type ReplicaEntry } from '../directory/replica-entry.js';
import { parseAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import { ReplicaTarget } from './replica-target.js';

/** Most connections of this gateway to one replica, whatever the shares say. */
const MAXIMUM_CONNECTIONS = 16;
const CONNECT_TIMEOUT_MS = 400;
const KEEP_ALIVE_MS = 30_000;
const MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

const NO_TARGETS: readonly ReplicaTarget[] = [];

/** See the module comment. */
export class ServiceTargets {
  private readonly byId = new Map<string, ReplicaTarget>();
  private readonly byService = new Map<string, ReplicaTarget[]>();
  private readonly waiting = new Map<string, Set<() => void>>();

  constructor(
    private readonly environment: Environment,
    directory: ReplicaDirectory,
  ) {
    observe(directory.changes, (entry) => this.apply(entry));
    observe(directory.forgotten, (replicaId) => this.remove(replicaId));
  }

  /** Replicas of the service that may get new work. */
  of(service: string): readonly ReplicaTarget[] {
    return this.byService.get(service) ?? NO_TARGETS;
  }

  /** All replicas that may get new work. */
  all(): IterableIterator<ReplicaTarget> {
    return this.byId.values();
  }

  /** Replicas that may get new work, of all services. */
  get size(): number {
    return this.byId.size;
  }

  /** Calls `callback` once, when a replica of the service has room again or a new one is known. */
  onceRoom(service: string, callback: () => void): void {
    const waiting = this.waiting.get(service) ?? new Set();
    waiting.add(callback);
    this.waiting.set(service, waiting);
  }

  /** The callback is no longer wanted. */
  cancelRoom(service: string, callback: () => void): void {
    this.waiting.get(service)?.delete(callback);
  }

  /** A replica of the service has room again: wakes those that wait, in the order they came. */
  notifyRoom(service: string): void {
    const waiting = this.waiting.get(service);
    if (waiting === undefined || waiting.size === 0) return;
    this.waiting.set(service, new Set());
    for (const callback of waiting) callback();
  }

  stop(): void {
    for (const target of this.byId.values()) target.client.destroy();
    this.byId.clear();
    this.byService.clear();
  }

  private apply(entry: ReplicaEntry): void {
    const known = this.byId.get(entry.replicaId);
    if (entry.state !== RegisteredState.Ready) {
      this.remove(entry.replicaId);
      return;
    }
    const sameplace = known?.address === entry.address && known.entry.service === entry.service;
    if (known !== undefined && sameplace) known.entry = entry;
    else this.replace(entry);
  }

  private replace(entry: ReplicaEntry): void {
    this.remove(entry.replicaId);
    const target = this.create(entry);
    if (target === undefined) return;
    this.byId.set(entry.replicaId, target);
    const group = this.byService.get(entry.service) ?? [];
    this.byService.set(entry.service, [...group, target]);
    this.notifyRoom(entry.service);
  }

  /** Undefined when what was registered is no address. */
  private create(entry: ReplicaEntry): ReplicaTarget | undefined {
    const { clock, network } = this.environment;
    try {
      const client = network.httpClient(parseAddress(entry.address), {
        connections: MAXIMUM_CONNECTIONS,
        maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
        connectTimeout: CONNECT_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
      });
      return new ReplicaTarget(entry, client, entry.address, clock.now() + entry.warmupMs);
    } catch {
      return undefined;
    }
  }

  /** Attempts in flight go on to their end. */
  private remove(replicaId: string): void {
    const target = this.byId.get(replicaId);
    if (target === undefined) return;
    this.byId.delete(replicaId);
    const { service } = target.entry;
    const group = (this.byService.get(service) ?? []).filter((other) => other !== target);
    if (group.length === 0) this.byService.delete(service);
    else this.byService.set(service, group);
    void target.client.close();
  }
}
