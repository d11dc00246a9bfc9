/** Callers that ask each gateway at a steady rate, and note what they were told. */
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import type { Address } from '../../src/seams/address.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { Simulation } from '../simulation/simulation.js';

/** Paths of the two routes. */
export const REPEATABLE_PATH = '/look-up/';
export const AT_MOST_ONCE_PATH = '/pay/';
export const HOST = 'desk.example';
const DEADLINE_MS = 1_500;
const CLIENT_OPTIONS = {
  connections: 200,
  maximumResponseBytes: 10_000,
  connectTimeout: 500,
  keepAliveTimeout: 5_000,
};

/** One request of a caller. */
export interface CallRecord {
  readonly requestId: string;
  readonly isRepeatable: boolean;
  /** Undefined while there is no answer, and for a connection that broke. */
  status: number | undefined;
}

/** See the module comment. */
export class LivesCallers {
  readonly calls: CallRecord[] = [];

  constructor(
    private readonly simulation: Simulation,
    private readonly machine: SimulatedMachine,
    private readonly gateways: readonly Address[],
  ) {}

  /** Asks each gateway every `intervalMs` until `end`. Virtual milliseconds. */
  schedule(end: number, intervalMs: number): void {
    for (let at = this.simulation.now; at < end; at += intervalMs) {
      this.simulation.at(at, () => {
        for (const gateway of this.gateways) void this.call(gateway);
      });
    }
  }

  private async call(gateway: Address): Promise<void> {
    const number = this.calls.length;
    const isRepeatable = number % 2 === 0;
    const record: CallRecord = { requestId: `call-${number}`, isRepeatable, status: undefined };
    this.calls.push(record);
    const { network } = this.machine.environment;
    const { requestId, deadline } = DEFAULT_EXCHANGE_HEADERS;
    const client = network.httpClient(gateway, CLIENT_OPTIONS);
    const headers = { host: HOST, [requestId]: record.requestId, [deadline]: String(DEADLINE_MS) };
    const path = `${isRepeatable ? REPEATABLE_PATH : AT_MOST_ONCE_PATH}${number}`;
    try {
      record.status = (await client.request({ method: 'GET', path, headers })).status;
    } catch {
      // The connection broke; whether it ran is for the replicas' notes to say.
    } finally {
      client.destroy();
    }
  }
}
