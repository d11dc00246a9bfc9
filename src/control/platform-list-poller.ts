/**
 * Polls the platform's machine list at a fixed interval and records the listed state of each
 * replica. Only listed states count: a machine that is missing from the list may be one that a
 * lagging or restarted list does not know yet.
 */
import { Counter } from 'prom-client';
import * as z from 'zod';
import {
  ALL_ZONES,
  PLATFORM_OBSERVER,
  type LivenessReportTable,
} from '../control-stream/liveness-report-table.js';
import { nameSchema } from '../model/service-definition.js';
import {
  EntrySource,
  UnusableReason,
  type UnusableEntries,
} from '../observability/unusable-entries.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { Address } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import type { HttpClient } from '../seams/http.js';

const MACHINES_PATH = '/machines';

const POLL_INTERVAL_MS = 1_000;
const POLL_TIMEOUT_MS = 2_000;

const CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 16 * 1024 * 1024,
  connectTimeout: 1_000,
  keepAliveTimeout: 10_000,
};

/** A list with more items is rejected as malformed. */
const MAXIMUM_MACHINES = 100_000;

const machineSchema = z.object({
  replicaId: nameSchema,
  incarnation: z.int().min(0),
  state: z.enum(['live', 'draining', 'gone']),
});
type Machine = z.infer<typeof machineSchema>;

/**
 * Polls from construction until stopped, and calls `onNewReports` after a poll that changed a
 * state.
 */
export class PlatformListPoller {
  private readonly client: HttpClient;
  private readonly stopped = new AbortController();
  private readonly finished: Promise<void>;
  private readonly polls: Counter<'outcome'>;

  constructor(
    private readonly environment: Environment,
    address: Address,
    private readonly livenessReports: LivenessReportTable,
    private readonly onNewReports: () => void,
    private readonly unusable: UnusableEntries,
    telemetry: Telemetry,
  ) {
    this.client = environment.network.httpClient(address, CLIENT_OPTIONS);
    this.polls = new Counter({
      name: 'driftway_platform_list_polls_total',
      help: "Polls of the platform's machine list, by outcome.",
      labelNames: ['outcome'],
      registers: [telemetry.registry],
    });
    this.finished = this.run();
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    this.client.destroy();
    await this.finished;
  }

  private async run(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const outcome = await this.poll();
      this.polls.inc({ outcome });
      await this.environment.clock.sleep(POLL_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  private async poll(): Promise<'read' | 'failed' | 'malformed'> {
    const body = await this.fetchList();
    if (body === undefined) return 'failed';
    const machines = parseList(body);
    if (machines === undefined) return 'malformed';
    let hasNewReports = false;
    for (const item of machines) {
      const machine = this.parseMachine(item);
      if (machine === undefined) continue;
      const report = { ...machine, observedBy: PLATFORM_OBSERVER };
      hasNewReports = this.livenessReports.record({ scope: ALL_ZONES, report }) || hasNewReports;
    }
    if (hasNewReports) this.onNewReports();
    return 'read';
  }

  /** Returns undefined for an unusable item, which is counted; the rest of the list stays valid. */
  private parseMachine(item: unknown): Machine | undefined {
    const parsed = machineSchema.safeParse(item);
    if (parsed.success) return parsed.data;
    const field = String(parsed.error.issues[0]?.path[0] ?? 'item');
    const reason = field === 'state' ? UnusableReason.UnknownState : UnusableReason.BadField;
    this.unusable.note(EntrySource.PlatformList, reason, { field });
    return undefined;
  }

  private async fetchList(): Promise<Uint8Array | undefined> {
    const timeout = new AbortController();
    const timer = this.environment.clock.setTimer(POLL_TIMEOUT_MS, () => {
      timeout.abort(new Error('timeout'));
    });
    try {
      const response = await this.client.request({
        method: 'GET',
        path: MACHINES_PATH,
        headers: {},
        signal: timeout.signal,
      });
      return response.status === 200 ? response.body : undefined;
    } catch {
      return undefined;
    } finally {
      timer.cancel();
    }
  }
}

function parseList(body: Uint8Array): readonly unknown[] | undefined {
  try {
    const document: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
    const isList = Array.isArray(document) && document.length <= MAXIMUM_MACHINES;
    return isList ? (document as unknown[]) : undefined;
  } catch {
    return undefined;
  }
}
