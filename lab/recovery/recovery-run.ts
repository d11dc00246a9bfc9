/** Kills controllers while operators race each other, restarts all, and looks what is left. */
import type { HistoryReport } from '../../src/administration/response-schemas.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import type { Environment } from '../../src/seams/environment.js';
import { DEFAULT_AUDIT_TERMS } from '../auditor/audit-evidence.js';
import { audit } from '../auditor/auditor.js';
import type { FleetFile } from '../fleet/fleet-file.js';
import type { Fleet } from '../fleet/fleet.js';
import { fleetClient, waitUntilInForce } from '../fleet/in-force.js';
import { withFleet } from '../fleet/with-fleet.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { runLoad } from '../load/run-load.js';
import { ControllerKiller } from './controller-killer.js';
import { ChangeWriter, WRITTEN_KEY } from './change-writer.js';
import type {
  ControllerView,
  RecoveryEvidence,
  WriteOutcome,
  WrittenChange,
} from './recovery-evidence.js';

const WRITERS = 2;
const QUERIES_PER_SECOND = 20;
const HISTORY_TARGET = '/v1/history?limit=1000';

export interface RecoveryOptions {
  readonly environment: Environment;
  readonly file: FleetFile;
  readonly folder?: string | undefined;
  readonly signal: AbortSignal;
  readonly print: (line: string) => void;
  /** Changes that each of the operators makes. */
  readonly changes: number;
  /** Controllers are killed, and started again, after this many accepted changes. */
  readonly changesPerKill: number;
}

/** What is known before the fleet is stopped. */
type RecoveryUse = Omit<RecoveryEvidence, 'violations' | 'processes' | 'answered'> & {
  readonly callers: readonly CallerLedgerEntry[];
};

/** One run. */
export class RecoveryRun {
  private readonly written: WrittenChange[] = [];

  constructor(private readonly options: RecoveryOptions) {}

  /** @throws Error when it cannot be finished; no process is left then either. */
  run(): Promise<RecoveryEvidence> {
    return withFleet(
      this.options,
      (fleet) => this.use(fleet),
      async (fleet, { callers, ...known }) => {
        const backends = await fleet.readLedgers();
        const { counts } = audit({ callers, backends, terms: DEFAULT_AUDIT_TERMS });
        const answered = callers.filter(({ outcome }) => outcome === 'answered').length;
        return { ...known, answered, violations: counts, processes: fleet.record };
      },
    );
  }

  private async use(fleet: Fleet): Promise<RecoveryUse> {
    const { environment, file, print, signal } = this.options;
    const killer = new ControllerKiller(environment, fleet, print);
    const enough = new AbortController();
    const load = runLoad(environment, {
      targets: fleet.routers,
      queries: file.queries,
      clientLatency: file.clientLatency,
      rate: QUERIES_PER_SECOND,
      requests: Infinity,
      arrivals: 'poisson',
      signal: AbortSignal.any([enough.signal, signal]),
    });
    try {
      await this.writeAll(fleet, killer);
      await killer.killAll();
      const views = await this.readViews(fleet);
      print(`each controller tells ${views.map(({ history }) => history.revision).join(', ')}`);
      const inForce = await this.countInForce(fleet, views);
      enough.abort();
      const { entries } = await load;
      const { controllers, routers } = file;
      const { written } = this;
      return {
        written,
        kills: killer.steps,
        views,
        inForce,
        controllers,
        routers,
        callers: entries,
      };
    } finally {
      enough.abort();
    }
  }

  private async writeAll(fleet: Fleet, killer: ControllerKiller): Promise<void> {
    const { changes, changesPerKill, print, signal } = this.options;
    const written = new AbortController();
    const writers = Array.from({ length: WRITERS }, (_, index) =>
      this.writeLoop(fleet, `operator-${index + 1}`, index * changes),
    );
    const accepted = (): number => this.count('accepted');
    const end = AbortSignal.any([written.signal, signal]);
    await Promise.all([
      Promise.all(writers).finally(() => written.abort()),
      killer.run({ accepted, changesPerKill, signal: end }),
    ]);
    print(
      `${this.written.length} changes: ${accepted()} accepted, ${this.count('refused')} ` +
        `refused, ${this.count('unknown')} unknown; ${killer.steps} times a controller was killed or frozen`,
    );
  }

  private count(wanted: WriteOutcome): number {
    return this.written.filter(({ outcome }) => outcome === wanted).length;
  }

  private async writeLoop(fleet: Fleet, name: string, offset: number): Promise<void> {
    const client = fleetClient(this.options.environment, fleet);
    const service = this.writtenService();
    const writer = new ChangeWriter(client, name, service);
    for (let index = 1; index <= this.options.changes; index += 1) {
      this.options.signal.throwIfAborted();
      const change = await writer.write(offset + index);
      this.written.push(change);
    }
    client.close();
  }

  private async readViews(fleet: Fleet): Promise<ControllerView[]> {
    const views: ControllerView[] = [];
    for (const { memberId, http } of fleet.terms.controllers) {
      const client = fleetClient(this.options.environment, fleet, [http]);
      const history = await client.get<HistoryReport>(HISTORY_TARGET);
      const { overrides } = await client.get<ConfigurationState>('/v1/configuration');
      const value = overrides[`service/${this.writtenService()}`]?.[WRITTEN_KEY];
      views.push({ memberId, history, value });
      client.close();
    }
    return views;
  }

  private async countInForce(fleet: Fleet, views: readonly ControllerView[]): Promise<number> {
    const { environment, signal, print } = this.options;
    const newest = views[0]?.history.changes[0]?.changeId ?? '';
    const inForce = await waitUntilInForce(environment, fleet, newest, signal);
    print(`the last change is in force at ${inForce} routers`);
    return inForce;
  }

  private writtenService(): string {
    return this.options.file.services[0]?.name ?? '';
  }
}
