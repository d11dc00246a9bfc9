/**
 * The platform's list of machines, as a stand-in: true once, but told late.
 * `GET /machines` gives the list as a JSON array of {@link PlatformMachine};
 * `PUT /machines` takes one machine, as the platform's own agents would.
 */
import * as z from 'zod';
import { nameSchema } from '../../src/model/service-definition.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import type { HttpListener, HttpRequest, HttpResponse } from '../../src/seams/http.js';

/** Path of the list. */
export const PLATFORM_MACHINES_PATH = '/machines';

/** One machine with the replica that runs on it. */
export const platformMachineSchema = z.strictObject({
  replicaId: nameSchema,
  /** Of the back-end process. */
  incarnation: z.int().min(0),
  state: z.enum(['live', 'draining', 'gone']),
});
export type PlatformMachine = z.infer<typeof platformMachineSchema>;

/** Where it listens and how late it tells. */
export interface PlatformListOptions {
  readonly address: Address;
  /** The list tells the state of this long ago. Milliseconds. */
  readonly lag: number;
}

interface TimedMachine {
  readonly visibleAt: number;
  readonly machine: PlatformMachine;
}

const LISTEN_LIMITS = {
  maximumBodyBytes: 65_536,
  maximumHeaderBytes: 16_384,
  requestTimeout: 10_000,
  maximumConnections: 1_000,
};
const JSON_HEADERS = { 'content-type': 'application/json' };

/** A running list. */
export class PlatformList {
  /** What is told of each replica, and what will be told later, in order. */
  private readonly machines = new Map<string, TimedMachine[]>();
  private listener: HttpListener | undefined;

  private constructor(
    private readonly environment: Environment,
    private readonly options: PlatformListOptions,
  ) {}

  static async start(
    environment: Environment,
    options: PlatformListOptions,
  ): Promise<PlatformList> {
    const list = new PlatformList(environment, options);
    list.listener = await environment.network.listenHttp(
      options.address,
      LISTEN_LIMITS,
      async (request) => list.serve(request),
    );
    return list;
  }

  get address(): Address {
    return this.listener?.address ?? this.options.address;
  }

  /** Notes the true state; told once the lag has passed. */
  set(machine: PlatformMachine): void {
    const history = this.machines.get(machine.replicaId) ?? [];
    const visibleAt = this.environment.clock.now() + this.options.lag;
    this.machines.set(machine.replicaId, [...history, { visibleAt, machine }]);
  }

  /** The list as it is told now, by replica id. */
  list(): PlatformMachine[] {
    const now = this.environment.clock.now();
    const told: PlatformMachine[] = [];
    for (const [replicaId, history] of this.machines) {
      const visible = history.filter(({ visibleAt }) => visibleAt <= now);
      const newest = visible.at(-1);
      if (newest === undefined) continue;
      this.machines.set(replicaId, history.slice(visible.length - 1));
      told.push(newest.machine);
    }
    return told.sort((left, right) => (left.replicaId < right.replicaId ? -1 : 1));
  }

  async stop(): Promise<void> {
    await this.listener?.close();
  }

  private serve(request: HttpRequest): HttpResponse {
    if (request.path !== PLATFORM_MACHINES_PATH) return { status: 404, body: '' };
    if (request.method === 'PUT') return this.serveSet(request);
    return { status: 200, headers: JSON_HEADERS, body: JSON.stringify(this.list()) };
  }

  private serveSet(request: HttpRequest): HttpResponse {
    const text = Buffer.from(request.body).toString('utf8');
    const machine = platformMachineSchema.safeParse(parseJson(text));
    if (!machine.success) {
      return { status: 400, body: z.prettifyError(machine.error) };
    }
    this.set(machine.data);
    return { status: 204, body: '' };
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
