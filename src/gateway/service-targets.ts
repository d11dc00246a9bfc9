/**
 * Maintains the replicas of every service from the directory, and which of them may get new
 * requests. Replicas in an evacuated zone and replicas at whose address another one has registered
 * since get none.
 */
import { observe } from '../control-stream/observe.js';
import type { ReplicaDirectory } from '../directory/replica-directory.js';
import { RegisteredState, incarnationIdOf, type ReplicaEntry } from '../directory/replica-entry.js';
import { parseAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import { AddressCheckResult, AddressClaims, type ContestedAddress } from './address-claims.js';
import { ColdSendLimiter } from './cold-send-limiter.js';
import { ReplicaTarget } from './replica-target.js';

/** Maximum connections of this gateway to one replica, whatever its fleet share allows. */
const MAXIMUM_CONNECTIONS = 16;
const CONNECT_TIMEOUT_MS = 400;
const KEEP_ALIVE_MS = 30_000;
const MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Time after the start in which a gateway discovers replicas: two heartbeat intervals. */
const DISCOVERY_MS = 3_000;

const NO_TARGETS: readonly ReplicaTarget[] = [];

/**
 * Whether two entries of one replica id describe the same process; another address or service means
 * another process.
 */
function isSameProcess(known: ReplicaEntry, entry: ReplicaEntry): boolean {
  const isSameEndpoint = known.address === entry.address && known.service === entry.service;
  // While the incarnation of the known entry is unknown, the entries count as the same.
  const isSameIncarnation =
    known.bornAt === undefined || incarnationIdOf(known) === incarnationIdOf(entry);
  return isSameEndpoint && isSameIncarnation;
}

/** The replicas of one service. */
interface ServiceGroup {
  readonly all: readonly ReplicaTarget[];
  /** Replicas that may get new requests. */
  readonly usable: readonly ReplicaTarget[];
}

/** Replicas of all services, by service. */
export class ServiceTargets {
  private readonly byId = new Map<string, ReplicaTarget>();
  private readonly addresses = new AddressClaims();
  private readonly groups = new Map<string, ServiceGroup>();
  private readonly capacityCallbacks = new Map<string, Set<() => void>>();
  private evacuatedZones: ReadonlySet<string> = new Set();
  private usableCount = 0;
  private readonly startedAt: number;

  constructor(
    private readonly environment: Environment,
    directory: ReplicaDirectory,
  ) {
    this.startedAt = environment.clock.now();
    observe(directory.changes, (entry) => this.apply(entry));
    observe(directory.forgotten, (replicaId) => this.forget(replicaId));
  }

  /** Replicas of the service that may get new requests. */
  of(service: string): readonly ReplicaTarget[] {
    return this.groups.get(service)?.usable ?? NO_TARGETS;
  }

  /** Replicas of all services that may get new requests. */
  *all(): IterableIterator<ReplicaTarget> {
    for (const { usable } of this.groups.values()) yield* usable;
  }

  /**
   * Whether the replica has neither announced its departure nor been removed; a crash announces
   * nothing.
   */
  isRegistered(target: ReplicaTarget): boolean {
    return !target.hasLeft;
  }

  /** Number of replicas that may get new requests, over all services. */
  get size(): number {
    return this.usableCount;
  }

  /** Excludes replicas of these zones from new requests; requests in flight continue. */
  setEvacuatedZones(zones: ReadonlySet<string>): void {
    this.evacuatedZones = zones;
    for (const [service, { all }] of this.groups) {
      this.setGroup(service, all);
      this.notifyCapacity(service);
    }
  }

  /** Whether the gateway has just started and is still discovering replicas. */
  get isDiscovering(): boolean {
    return this.environment.clock.now() - this.startedAt < DISCOVERY_MS;
  }

  /** Calls `callback` once, when a replica of the service has capacity again or becomes known. */
  onceCapacity(service: string, callback: () => void): void {
    const callbacks = this.capacityCallbacks.get(service) ?? new Set();
    callbacks.add(callback);
    this.capacityCallbacks.set(service, callbacks);
  }

  /** Removes a callback of {@link ServiceTargets.onceCapacity}. */
  cancelCapacity(service: string, callback: () => void): void {
    this.capacityCallbacks.get(service)?.delete(callback);
  }

  /**
   * Calls the callbacks waiting for capacity of the service, in the order in which they were added.
   */
  notifyCapacity(service: string): void {
    const callbacks = this.capacityCallbacks.get(service);
    if (callbacks === undefined || callbacks.size === 0) return;
    this.capacityCallbacks.set(service, new Set());
    for (const callback of callbacks) callback();
  }

  stop(): void {
    for (const target of this.byId.values()) target.client.destroy();
    this.byId.clear();
    this.addresses.clear();
    this.groups.clear();
    this.usableCount = 0;
  }

  private apply(entry: ReplicaEntry): void {
    const known = this.byId.get(entry.replicaId);
    if (entry.state !== RegisteredState.Ready) {
      // The departure of a later incarnation does not tell how the known one ended.
      const isSameIncarnation = known !== undefined && isSameProcess(known.entry, entry);
      if (isSameIncarnation) known.hasLeft = true;
      this.remove(entry.replicaId);
      return;
    }
    if (known !== undefined && isSameProcess(known.entry, entry)) this.update(known, entry);
    else this.replace(entry);
  }

  private forget(replicaId: string): void {
    const target = this.byId.get(replicaId);
    if (target !== undefined) target.hasLeft = true;
    this.remove(replicaId);
  }

  private update(target: ReplicaTarget, entry: ReplicaEntry): void {
    target.entry = entry;
    target.recordWarmup(entry.warmupMs, this.environment.clock.now());
  }

  private replace(entry: ReplicaEntry): void {
    const former = this.byId.get(entry.replicaId);
    this.remove(entry.replicaId);
    const target = this.create(entry);
    if (target === undefined) return;
    if (former !== undefined) former.successor = target;
    this.byId.set(entry.replicaId, target);
    this.takeOverAddress(target);
    const { all = NO_TARGETS } = this.groups.get(entry.service) ?? {};
    this.setGroup(entry.service, [...all, target]);
    this.notifyCapacity(entry.service);
  }

  /** Assigns an address to the replica that registered there last. */
  private takeOverAddress(target: ReplicaTarget): void {
    const earlier = this.addresses.register(target, this.environment.clock.now());
    if (earlier === undefined) return;
    earlier.successor = target;
    this.refreshGroup(earlier.entry.service);
    earlier.replacement.emit();
  }

  /** Addresses at which several replicas are registered and no answer has shown which one is there. */
  contestedAddresses(): Iterable<ContestedAddress> {
    return this.addresses.contested();
  }

  /** Handles an answer of the replica to a request that named it. */
  confirmAddress(target: ReplicaTarget): void {
    this.addresses.confirm(target);
  }

  /**
   * Handles the result of a check of a contested address: the id of the replica there, if one
   * responded. An address whose holder registered late is given back.
   */
  decideAddress(contest: ContestedAddress, replicaId: string | undefined): AddressCheckResult {
    const winner = replicaId === undefined ? undefined : this.addresses.decide(contest, replicaId);
    if (winner === undefined) return AddressCheckResult.Undecided;
    if (winner === contest.holder) return AddressCheckResult.Confirmed;
    if (contest.holder !== undefined) this.exclude(contest.holder);
    this.giveBack(winner);
    return AddressCheckResult.GivenBack;
  }

  /**
   * Handles an answer from another replica at the target's address. If the target had taken over
   * the address from a known replica, its registration was outdated, and the address is given back.
   */
  markReplaced(target: ReplicaTarget): void {
    this.exclude(target);
    const earlier = this.addresses.revoke(target, this.environment.clock.now());
    if (earlier !== undefined) this.giveBack(earlier);
  }

  private exclude(target: ReplicaTarget): void {
    target.markReplaced(this.environment.clock.now());
    target.replacement.emit();
  }

  private giveBack(target: ReplicaTarget): void {
    target.successor = undefined;
    const { service } = target.entry;
    this.refreshGroup(service);
    this.notifyCapacity(service);
  }

  /** Returns undefined if the registered address is invalid. */
  private create(entry: ReplicaEntry): ReplicaTarget | undefined {
    const { clock, network, random } = this.environment;
    try {
      const client = network.httpClient(parseAddress(entry.address), {
        connections: MAXIMUM_CONNECTIONS,
        maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
        connectTimeout: CONNECT_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
      });
      const coldSendLimiter = new ColdSendLimiter(random.nextFloat());
      const coldUntil = clock.now() + entry.warmupMs;
      return new ReplicaTarget(entry, client, entry.address, coldUntil, coldSendLimiter);
    } catch {
      return undefined;
    }
  }

  /** Removes a replica; its attempts in flight continue. */
  private remove(replicaId: string): void {
    const target = this.byId.get(replicaId);
    if (target === undefined) return;
    this.byId.delete(replicaId);
    this.addresses.remove(target, this.environment.clock.now());
    const { service } = target.entry;
    const { all = NO_TARGETS } = this.groups.get(service) ?? {};
    this.setGroup(
      service,
      all.filter((other) => other !== target),
    );
    void target.client.close();
  }

  private refreshGroup(service: string): void {
    const group = this.groups.get(service);
    if (group !== undefined) this.setGroup(service, group.all);
  }

  private setGroup(service: string, all: readonly ReplicaTarget[]): void {
    const usable = all.filter((target) => this.isUsable(target));
    this.usableCount += usable.length - this.of(service).length;
    if (all.length === 0) this.groups.delete(service);
    else this.groups.set(service, { all, usable });
  }

  private isUsable({ entry, successor }: ReplicaTarget): boolean {
    return successor === undefined && !this.evacuatedZones.has(entry.zone);
  }
}
