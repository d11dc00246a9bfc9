/**
 * A stand-in replica: serves queries over the back-end protocol as the real
 * systems do, notes everything in a ledger, and misbehaves on demand.
 */
import {
  BACKEND_QUERY_PATH,
  BACKEND_REPORT_PATH,
  type BackendReport,
} from '../../src/model/backend-protocol.js';
import type { Snapshot } from '../../src/model/snapshot.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import type { HttpRequest, HttpResponse } from '../../src/seams/http.js';
import type { BackendEventKind } from '../ledger/backend-event.js';
import type { BackendFault, BackendFaultInput } from './backend-fault.js';
import { BackendExchange, type ExchangeContext } from './backend-exchange.js';
import { BackendListener } from './backend-listener.js';
import type { BackendOptions } from './backend-options.js';
import { NO_REPLY, type ReplicaFacts } from './backend-reply.js';
import { readBackendRequest } from './backend-request.js';
import { FaultSwitchboard } from './fault-switchboard.js';
import { HeldSnapshots } from './held-snapshots.js';
import { ReportHistory } from './report-history.js';
import { SlotQueue } from './slot-queue.js';
import { WorkStop } from './work-stop.js';

const NOT_FOUND: HttpResponse = { status: 404, body: '{"error":"no such path"}' };
const BAD_REQUEST: HttpResponse = { status: 400, body: '{"error":"not a back-end request"}' };
const JSON_HEADERS = { 'content-type': 'application/json' };

/** One stand-in replica. Start it with {@link Backend.start}. */
export class Backend implements ExchangeContext {
  readonly faults: FaultSwitchboard;
  readonly snapshots: HeldSnapshots;
  previousReply: HttpResponse | undefined;
  slots: SlotQueue;
  private readonly listener: BackendListener;
  private readonly running = new Set<WorkStop>();
  private draining = false;
  private currentIncarnation = 0;
  private startedAt = 0;
  private history: ReportHistory;

  private constructor(
    readonly environment: Environment,
    readonly options: BackendOptions,
  ) {
    const { address, connections } = options;
    this.listener = new BackendListener(environment.network, address, connections, (request) =>
      this.serve(request),
    );
    this.faults = new FaultSwitchboard(environment.random);
    this.snapshots = new HeldSnapshots(options.keptSnapshots);
    this.hold(options.snapshot, options.shardIds);
    this.slots = this.newSlots();
    this.history = this.newHistory();
  }

  /** Starts serving; the port is the one really bound, see {@link Backend.address}. */
  static async start(environment: Environment, options: BackendOptions): Promise<Backend> {
    const backend = new Backend(environment, options);
    await backend.open();
    return backend;
  }

  get address(): Address {
    return this.listener.address;
  }

  get replicaId(): string {
    return this.options.replicaId;
  }

  get incarnation(): number {
    return this.currentIncarnation;
  }

  get isDraining(): boolean {
    return this.draining;
  }

  /** Whether it accepts connections. */
  get isListening(): boolean {
    return this.listener.isOpen;
  }

  /** Adds a snapshot to those it answers from; the oldest beyond the number kept is dropped. */
  publish(snapshot: Snapshot, shardIds?: readonly string[]): void {
    this.hold(snapshot, shardIds ?? this.snapshots.newest?.shardIds ?? []);
    this.noteState();
  }

  setFault(fault: BackendFaultInput): void {
    this.faults.set(fault);
  }

  clearFaults(): void {
    this.faults.clear();
  }

  listFaults(): BackendFault[] {
    return this.faults.list();
  }

  /** Rejects new work with the not-started mark; what is queued or running is finished. */
  drain(): void {
    if (this.draining) return;
    this.draining = true;
    this.recordEvent('draining');
    this.noteState();
  }

  /** A planned stop: drains, answers what is in flight, and closes. */
  async stop(): Promise<void> {
    if (!this.listener.isOpen) return;
    this.drain();
    await this.listener.close();
    this.recordEvent('stopped');
  }

  /** Cuts every connection and refuses new ones until {@link Backend.restart}. */
  async crash(): Promise<void> {
    if (!this.listener.isOpen) return;
    this.recordEvent('crashed');
    for (const stop of this.running) stop.crash();
    await this.listener.close();
  }

  /** Refuses new connections while what is in flight is finished; undone by {@link Backend.accept}. */
  async refuse(): Promise<void> {
    await this.listener.close();
  }

  /** Accepts connections again after {@link Backend.refuse}, on the same port. */
  async accept(): Promise<void> {
    await this.listener.open();
  }

  /** Comes back after a crash or stop on the same port, cold and as a new incarnation. */
  async restart(): Promise<void> {
    if (this.listener.isOpen) return;
    this.draining = false;
    this.slots = this.newSlots();
    this.history = this.newHistory();
    await this.open();
  }

  facts(): ReplicaFacts {
    return { incarnation: this.currentIncarnation, draining: this.draining, load: this.load() };
  }

  coldFactor(): number {
    const { coldStart } = this.options;
    if (coldStart === undefined) return 1;
    const age = this.environment.clock.now() - this.startedAt;
    const coldness = Math.max(0, 1 - age / coldStart.duration);
    return 1 + (coldStart.factor - 1) * coldness;
  }

  private hold(snapshot: Snapshot, shardIds: readonly string[]): void {
    const { replicaId, service, ledger } = this.options;
    this.snapshots.add(snapshot, shardIds);
    ledger.recordHolding({ replicaId, service, snapshot, shardIds });
  }

  private newSlots(): SlotQueue {
    const { slots, queueLimit } = this.options;
    return new SlotQueue(this.environment.clock, slots, queueLimit);
  }

  private newHistory(): ReportHistory {
    return new ReportHistory(this.environment.clock, this.options.report.lag);
  }

  private async open(): Promise<void> {
    await this.listener.open();
    const wallTime = Math.floor(this.environment.clock.wallTime());
    this.currentIncarnation = Math.max(this.currentIncarnation + 1, wallTime);
    this.startedAt = this.environment.clock.now();
    this.recordEvent('started');
    this.noteState();
  }

  private async serve(request: HttpRequest): Promise<HttpResponse> {
    if (request.path === BACKEND_REPORT_PATH) return this.serveReport();
    if (request.path === BACKEND_QUERY_PATH && request.method === 'POST') {
      return this.serveQuery(request);
    }
    return NOT_FOUND;
  }

  private async serveQuery(request: HttpRequest): Promise<HttpResponse> {
    const query = readBackendRequest(request);
    if (query === undefined) return BAD_REQUEST;
    const stop = new WorkStop(this.environment.clock, request.signal);
    this.running.add(stop);
    try {
      await stop.wait(this.arrivalDelay(request));
      if (stop.reason !== undefined) return NO_REPLY;
      const record = this.options.ledger.receive(this.replicaId, this.currentIncarnation, query);
      const exchange = new BackendExchange(this, query, record, stop);
      const reply = await this.track(exchange.run());
      stop.liftDeadline();
      await stop.wait(this.options.oneWayLatency);
      return stop.reason === 'crashed' ? NO_REPLY : reply;
    } finally {
      this.running.delete(stop);
      stop.dispose();
    }
  }

  /** Keeps the history of load up to date around a request. */
  private async track(running: Promise<HttpResponse>): Promise<HttpResponse> {
    this.noteState();
    const reply = await running;
    this.noteState();
    return reply;
  }

  private arrivalDelay(request: HttpRequest): number {
    const { oneWayLatency, connectionCost } = this.options;
    return oneWayLatency + (request.newConnection === true ? connectionCost : 0);
  }

  private load(): number {
    return this.options.report.claimedLoad ?? this.slots.load;
  }

  private noteState(): void {
    this.history.push({
      replicaId: this.replicaId,
      incarnation: this.currentIncarnation,
      draining: this.draining && this.options.report.hideDraining !== true,
      load: this.load(),
      snapshots: this.snapshots.list(),
    });
  }

  private serveReport(): HttpResponse {
    const report: BackendReport | undefined = this.history.read();
    return { status: 200, headers: JSON_HEADERS, body: JSON.stringify(report) };
  }

  private recordEvent(kind: BackendEventKind): void {
    this.options.ledger.recordEvent(this.replicaId, this.currentIncarnation, kind);
  }
}
