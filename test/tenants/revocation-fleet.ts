/**
 * Two gateways over a group of controllers, callers with API keys at both, and an operator who
 * takes one key after the other away.
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
  /** Time of the simulation. Milliseconds. */
  readonly sentAt: number;
  status?: number;
}

/** See the module comment. */
export class RevocationFleet {
  /** By request id. */
  readonly sent = new Map<string, SentRequest>();
  /** By key, when the document that took it away was first acknowledged. Time of the simulation. */
  readonly revokedAt = new Map<string, number>();
  private readonly keys = Array.from({ length: KEYS }, (_, index) => `key-${index}`);
  private version = 0;
  /** Taken away last, or next. */
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

  /** Requests that a replica ran although they were sent too long after their key was revoked. */
  get violations(): readonly SentRequest[] {
    return this.replica.runs.flatMap(({ requestId }) => {
      const request = this.sent.get(requestId);
      if (request === undefined) return [];
      const revokedAt = this.revokedAt.get(request.key) ?? Infinity;
      return request.sentAt > revokedAt + BOUND_MS ? [request] : [];
    });
  }

  /** Puts the next version of the routes, with all keys that are left. */
  async putDocument(hasTenants = true): Promise<void> {
    const document = this.nextDocument(hasTenants);
    const put = this.harness.group.putRoutes(this.harness.group.machineAt(0), document);
    expect((await put).status).toBe(200);
    await this.simulation.runFor(PROPAGATION_MS);
  }

  /** Takes the next key away, at whichever controller acknowledges it first. Not waited for. */
  revoke(): void {
    const key = this.keys.shift();
    if (key === undefined) throw new Error('no keys are left');
    this.latestKey = key;
    const document = this.nextDocument(true);
    for (const controller of this.controllers) void this.repeatPut(controller, key, document);
  }

  /** Calls both gateways again and again, until the simulation ends. */
  startCallers(): void {
    for (const machine of this.gateways) void this.call(machine);
  }

  /** One request; fails where the gateway cannot be reached. */
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

  /** Cuts a gateway and one controller off from the other controllers. */
  isolateWith(gateway: SimulatedMachine, index: number): void {
    const near = this.controllers[index % this.controllers.length];
    for (const controller of this.controllers) {
      if (controller === near) continue;
      this.cut(gateway, controller);
      if (near !== undefined) this.cut(near, controller);
    }
  }

  /** Cuts a controller off from the others. */
  isolateFromGroup(controller: SimulatedMachine): void {
    for (const other of this.controllers) {
      if (other !== controller) this.cut(controller, other);
    }
  }

  /** Cuts a gateway off from all controllers. */
  isolate(gateway: SimulatedMachine): void {
    for (const controller of this.controllers) this.cut(gateway, controller);
  }

  private cut(left: SimulatedMachine, right: SimulatedMachine): void {
    this.simulation.cut({ from: { machine: left.name }, to: { machine: right.name } });
    this.simulation.cut({ from: { machine: right.name }, to: { machine: left.name } });
  }

  /** As operators do where no controller answers, as while a leader is cut off from the others. */
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
      // Lost on the way: another controller acknowledges it.
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
