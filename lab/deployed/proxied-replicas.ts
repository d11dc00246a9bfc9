/** Replicas of a deployed fleet, each behind a proxy that can disturb what it answers. */
import { PLATFORM_HEADERS } from '../../platform/platform-headers.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { ExchangeReplica } from '../exchange/exchange-replica.js';
import { LoopbackProxy } from '../soak/loopback-proxy.js';
import { REPLICA_HOST, ZONES } from './deployed-fleet.js';

/** A replica behind its proxy. */
export interface ProxiedReplica {
  readonly replica: ExchangeReplica;
  readonly proxy: LoopbackProxy;
}

const FIRST_PORT = 20_000;

/** See the module comment. */
export class ProxiedReplicas {
  readonly all: ProxiedReplica[] = [];
  private nextPort = FIRST_PORT;

  constructor(
    private readonly environment: Environment,
    /** Where replicas register. */
    private readonly controllers: readonly Address[],
    /** Requests that each says it can run at a time. */
    private readonly capacity: number,
  ) {}

  async add(service: string): Promise<ProxiedReplica> {
    const number = this.all.length;
    const listenAt = this.freeAddress();
    const proxy = await LoopbackProxy.start(listenAt, this.freeAddress());
    const replica = new ExchangeReplica(this.environment, {
      replicaId: `replica-${number}`,
      service,
      address: proxy.address,
      listenAt,
      zone: ZONES[number % ZONES.length] as string,
      controllers: this.controllers,
      headers: PLATFORM_HEADERS,
      capacity: this.capacity,
    });
    const proxied = { replica, proxy };
    this.all.push(proxied);
    await replica.start();
    return proxied;
  }

  async stop(): Promise<void> {
    await Promise.all(this.all.map(({ replica }) => replica.stop()));
    await Promise.all(this.all.map(({ proxy }) => proxy.close()));
  }

  private freeAddress(): Address {
    const port = this.nextPort;
    this.nextPort += 1;
    return { host: REPLICA_HOST, port };
  }
}
