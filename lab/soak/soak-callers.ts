/** Callers of a soak: ask each gateway on connections that they keep, and note what they were told. */
import type { ExchangeHeaders } from '../../src/gateway/exchange-headers.js';
import type { Environment } from '../../src/seams/environment.js';
import type { HttpClient, HttpHeaders } from '../../src/seams/http.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import type { SoakDaemon } from './soak-daemon.js';
import { HOST, PATHS, TENANTS, keyOf } from './soak-routes.js';

/** How long callers say that they wait. Milliseconds. */
const DEADLINE_MS = 1_500;
const CLIENT_OPTIONS = {
  connections: 100,
  maximumResponseBytes: 100_000,
  connectTimeout: 1_000,
  keepAliveTimeout: 4_000,
};
/** Part of the requests that carry a key that no tenant ever had. */
const UNKNOWN_KEY_PART = 0.05;
/** Part of the requests that carry a key which was taken away long ago. */
const OLD_KEY_PART = 0.05;
/** So many versions ago a key was in force that is held no more. */
const VERSIONS_UNTIL_OLD = 2;

export type CallKind = keyof typeof PATHS;
const KINDS = Object.keys(PATHS) as CallKind[];

/** One request, and what was heard of it. */
export interface SoakCall {
  readonly requestId: string;
  readonly kind: CallKind;
  readonly gateway: SoakDaemon;
  /** The tenant whose key it carries; undefined for an unknown key or none. */
  readonly tenant: string | undefined;
  /** The newest version that holds its key; -1 when none does, and Infinity where it needs none. */
  readonly keyHeldUntil: number;
  /** Clock reading. */
  readonly sentAt: number;
  /** Whether the gateway was told to stop before the answer. */
  wasStopping: boolean;
  /** Whether the gateway was killed between the request and its answer. */
  wasKilled: boolean;
  /** Undefined when the connection broke. */
  answer?:
    { readonly status: number; readonly headers: HttpHeaders; readonly body: string } | undefined;
}

/** See the module comment. */
export class SoakCallers {
  readonly calls: SoakCall[] = [];
  private readonly clients = new Map<string, HttpClient>();
  private readonly inFlight = new Set<Promise<void>>();

  constructor(
    private readonly environment: Environment,
    private readonly random: RandomSource,
    /** The newest version of the routes that was accepted. */
    private readonly newestVersion: () => number,
    private readonly headers: ExchangeHeaders,
  ) {}

  /** Asks one gateway each `intervalMs` until `stopped`, then waits for the answers. */
  async run(
    gateways: readonly SoakDaemon[],
    intervalMs: number,
    stopped: AbortSignal,
  ): Promise<void> {
    for (let turn = 0; !stopped.aborted; turn += 1) {
      const call = this.call(gateways[turn % gateways.length] as SoakDaemon);
      this.inFlight.add(call);
      void call.then(() => this.inFlight.delete(call));
      await this.environment.clock.sleep(intervalMs, stopped).catch(() => undefined);
    }
    await Promise.all(this.inFlight);
    for (const client of this.clients.values()) client.destroy();
  }

  private async call(gateway: SoakDaemon): Promise<void> {
    const { apiKey, deadline, requestId } = this.headers;
    const kind = KINDS[Math.floor(this.random.nextFloat() * KINDS.length)] as CallKind;
    const { key, ...identity } = this.drawKey(kind);
    const call: SoakCall = {
      requestId: `call-${this.calls.length}`,
      kind,
      gateway,
      ...identity,
      sentAt: this.environment.clock.now(),
      wasStopping: false,
      wasKilled: false,
    };
    const killsBefore = gateway.kills;
    this.calls.push(call);
    const headers = {
      host: HOST,
      [requestId]: call.requestId,
      [deadline]: String(DEADLINE_MS),
      ...(key === undefined ? {} : { [apiKey]: key }),
    };
    const path = `${PATHS[kind]}${this.calls.length}`;
    try {
      const {
        status,
        headers: answered,
        body,
      } = await this.clientOf(gateway).request({
        method: 'GET',
        path,
        headers,
      });
      call.answer = { status, headers: answered, body: Buffer.from(body).toString('latin1') };
    } catch {
      // The connection broke; whether it ran is for the replicas' notes to say.
    }
    call.wasStopping = gateway.isStopping;
    call.wasKilled = gateway.kills > killsBefore;
  }

  private drawKey(
    kind: CallKind,
  ): Pick<SoakCall, 'tenant' | 'keyHeldUntil'> & { readonly key: string | undefined } {
    if (kind === 'public') return { key: undefined, tenant: undefined, keyHeldUntil: Infinity };
    const draw = this.random.nextFloat();
    if (draw < UNKNOWN_KEY_PART) return { key: 'unknown', tenant: undefined, keyHeldUntil: -1 };
    const tenant = TENANTS[Math.floor(this.random.nextFloat() * TENANTS.length)] as string;
    const newest = this.newestVersion();
    const isOld = draw < UNKNOWN_KEY_PART + OLD_KEY_PART;
    const version = isOld ? Math.max(0, newest - VERSIONS_UNTIL_OLD) : newest;
    // The next version still holds it.
    return { key: keyOf(tenant, version), tenant, keyHeldUntil: version + 1 };
  }

  private clientOf({ name, address }: SoakDaemon): HttpClient {
    const known = this.clients.get(name);
    if (known !== undefined) return known;
    const client = this.environment.network.httpClient(address, CLIENT_OPTIONS);
    this.clients.set(name, client);
    return client;
  }
}
