/**
 * Simulates two gateways with a group of controllers, callers with API keys at both gateways, and an
 * operator who revokes one key after the other.
 */
import { expect } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import type { HttpClientResponse } from '../../src/seams/http.js';
import { GatewayHarness, HOST, type GatewayOverrides } from '../gateway/gateway-harness.js';

export const BOUND_MS = 5_000;
export const KEPT_KEY = 'kept-key';
const CALLER_PORT = 8000;
const CALL_INTERVAL_MS = 100;
const PUT_INTERVAL_MS = 500;
const PROPAGATION_MS = 3_000;
const DEADLINE_MS = 2_000;
const KEYS = 12;

const CALLER_OPTIONS = {
  connections: 4,
  maximumResponseBytes: 100_000,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};

/** A request of a caller. */
export interface SentRequest {
  readonly key: string;
  readonly machine: SimulatedMachine;
  /** Simulation time in milliseconds. */
  readonly sentAt: number;
  status?: number;
}

/** Records every request and revocation, so that violations of the bound can be found afterwards. */
export class RevocationFleet {
  /** Requests by request id. */
  readonly sent = new Map<string, SentRequest>();
  /** Simulation time at which the document that revoked the key was first acknowledged, by key. */
  readonly revokedAt = new Map<string, number>();
  private readonly keys = Array.from({ length: KEYS }, (_, index) => `key-${index}`);
  private version = 0;
  /** The key that was revoked last, or the first one while none is. */
  private latestKey = this.keys[0] ?? '';

  private constructor(
    readonly harness: GatewayHarness,
    private readonly replica: ExchangeReplica,
  ) {}

  static async start(seed: number, overrides: GatewayOverrides = {}): Promise<RevocationFleet> {
    const settings = { others: 1, tenants: { revocationBoundMs: BOUND_MS }, ...overrides };
    const harness = await GatewayHarness.start(seed, settings);
    const replica = await harness.addReplica('ledger', 'whole');
    const fleet = new RevocationFleet(harness, replica);
    await fleet.putDocument();
    return fleet;
  }

  get simulation(): GatewayHarness['simulation'] {
    return this.harness.simulation;
  }

  get controllers(): readonly SimulatedMachine[] {
    return this.harness.group.machines;
  }

  get gateways(): readonly SimulatedMachine[] {
    return [this.harness.machine, ...this.harness.others.map(({ machine }) => machine)];
  }

  /**
   * Requests that a replica ran although they were sent more than the bound after the revocation of
   * their key.
   */
  get violations(): readonly SentRequest[] {
    return this.replica.runs.flatMap(({ requestId }) => {
      const request = this.sent.get(requestId);
      if (request === undefined) return [];
      const revokedAt = this.revokedAt.get(request.key) ?? Infinity;
      return request.sentAt > revokedAt + BOUND_MS ? [request] : [];
    });
  }

  /** Puts the next version of the route document, with all keys that aren't revoked. */
  async putDocument(hasTenants = true): Promise<void> {
    const document = this.nextDocument(hasTenants);
    const put = this.harness.group.putRoutes(this.harness.group.machineAt(0), document);
    expect((await put).status).toBe(200);
    await this.simulation.runFor(PROPAGATION_MS);
  }

  /** Revokes the next key through all controllers until one acknowledges it. Doesn't wait for that. */
  revoke(): void {
    const key = this.keys.shift();
    if (key === undefined) throw new Error('expected a key to revoke, but all keys are revoked');
    this.latestKey = key;
    const document = this.nextDocument(true);
    for (const controller of this.controllers) void this.repeatPut(controller, key, document);
  }

  /** Sends requests to both gateways periodically until the simulation ends. */
  startCallers(): void {
    for (const machine of this.gateways) void this.call(machine);
  }

  /** Sends one request; rejects when the gateway can't be reached. */
  async send(
    machine: SimulatedMachine,
    key: string,
    path = '/ledger/1',
  ): Promise<HttpClientResponse> {
    const id = `sent-${this.sent.size}`;
    const request: SentRequest = { key, machine, sentAt: this.simulation.now };
    this.sent.set(id, request);
    const { requestId, deadline, apiKey } = DEFAULT_EXCHANGE_HEADERS;
    const address = { host: machine.host, port: CALLER_PORT };
    const { network } = this.harness.group.operator.environment;
    const response = await network.httpClient(address, CALLER_OPTIONS).request({
      method: 'GET',
      path,
      headers: { host: HOST, [requestId]: id, [deadline]: String(DEADLINE_MS), [apiKey]: key },
    });
    request.status = response.status;
    return response;
  }

  /** Partitions a gateway together with one controller from the other controllers. */
  isolateWith(gateway: SimulatedMachine, index: number): void {
    const near = this.controllers[index % this.controllers.length];
    for (const controller of this.controllers) {
      if (controller === near) continue;
      this.cut(gateway, controller);
      if (near !== undefined) this.cut(near, controller);
    }
  }

  /** Partitions a controller from the other controllers. */
  isolateFromGroup(controller: SimulatedMachine): void {
    for (const other of this.controllers) {
      if (other !== controller) this.cut(controller, other);
    }
  }

  /** Partitions a gateway from all controllers. */
  isolate(gateway: SimulatedMachine): void {
    for (const controller of this.controllers) this.cut(gateway, controller);
  }

  private cut(left: SimulatedMachine, right: SimulatedMachine): void {
    this.simulation.cut({ from: { machine: left.name }, to: { machine: right.name } });
    this.simulation.cut({ from: { machine: right.name }, to: { machine: left.name } });
  }

  /**
   * Repeats the request until a controller acknowledges the document, as operators do when a
   * controller doesn't respond, for example while a leader is partitioned from the others.
   */
  private async repeatPut(
    controller: SimulatedMachine,
    key: string,
    document: string,
  ): Promise<void> {
    const { clock } = this.harness.group.operator.environment;
    while (!this.revokedAt.has(key)) {
      void this.putAt(controller, key, document);
      await clock.sleep(PUT_INTERVAL_MS);
    }
  }

  private async putAt(controller: SimulatedMachine, key: string, document: string): Promise<void> {
    try {
      const { status } = await this.harness.group.send(controller, 'PUT', '/v1/routes', document);
      if (status === 200 && !this.revokedAt.has(key)) this.revokedAt.set(key, this.simulation.now);
    } catch {
      // The request was lost; another controller acknowledges the document.
    }
  }

  private async call(machine: SimulatedMachine): Promise<void> {
    const { clock } = this.harness.group.operator.environment;
    for (;;) {
      for (const key of [KEPT_KEY, this.latestKey]) {
        void this.send(machine, key).catch(() => undefined);
      }
      await clock.sleep(CALL_INTERVAL_MS);
    }
  }

  private nextDocument(hasTenants: boolean): string {
    this.version += 1;
    const route = {
      host: HOST,
      execution: 'repeatable',
      timeoutMs: DEADLINE_MS,
      service: 'ledger',
    };
    return JSON.stringify({
      version: this.version,
      routes: [
        { ...route, name: 'ledger', pathPrefix: '/ledger/', maximumAttempts: 2 },
        { ...route, name: 'open', pathPrefix: '/open/', maximumAttempts: 2, public: true },
      ],
      services: [{ name: 'ledger' }],
      ...(hasTenants ? { tenants: [{ name: 'desk', keys: [KEPT_KEY, ...this.keys] }] } : {}),
    });
  }
}
