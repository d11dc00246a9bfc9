/** Kills controllers while operators race each other, restarts all, and looks what is left. */
import type {
  ChangeReport,
  HistoryReport,
  StatusReport,
} from '../../src/administration/response-schemas.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { DEFAULT_AUDIT_TERMS } from '../auditor/audit-evidence.js';
import { audit } from '../auditor/auditor.js';
import type { FleetFile } from '../fleet/fleet-file.js';
import type { Fleet } from '../fleet/fleet.js';
import { withFleet } from '../fleet/with-fleet.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { runLoad } from '../load/run-load.js';
import { ChangeWriter, WRITTEN_KEY } from './change-writer.js';
import type { ControllerView, RecoveryEvidence, WrittenChange } from './recovery-evidence.js';

const WRITERS = 2;
const QUERIES_PER_SECOND = 20;
const HISTORY_TARGET = '/v1/history?limit=1000';
/** Milliseconds. */
const ATTEMPT_TIMEOUT = 3_000;
const TOTAL_TIMEOUT = 30_000;
const IN_FORCE_PATIENCE = 15_000;
const POLL_INTERVAL = 200;

export interface RecoveryOptions {
  readonly environment: Environment;
  readonly file: FleetFile;
  readonly folder?: string | undefined;
  readonly signal: AbortSignal;
  readonly print: (line: string) => void;
  /** Changes that each of the operators makes. */
  readonly changes: number;
  /** One controller is killed, and started again, after this many accepted changes. */
  readonly changesPerKill: number;
}

/** What is known before the fleet is stopped. */
type RecoveryUse = Omit<RecoveryEvidence, 'violations' | 'processes' | 'answered'> & {
  readonly callers: readonly CallerLedgerEntry[];
};

/** One run. */
export class RecoveryRun {
  private readonly written: WrittenChange[] = [];
  private accepted = 0;
  private nextKillAt: number;
  private kills = 0;
  private killing: Promise<void> = Promise.resolve();

  constructor(private readonly options: RecoveryOptions) {
    this.nextKillAt = options.changesPerKill;
  }

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
      await this.writeAll(fleet);
      await this.restartAll(fleet);
      const views = await this.readViews(fleet);
      print(`each controller tells ${views.map(({ history }) => history.revision).join(', ')}`);
      const inForce = await this.countInForce(fleet, views);
      enough.abort();
      const { entries } = await load;
      const { controllers, routers } = file;
      const { written, kills } = this;
      return { written, kills, views, inForce, controllers, routers, callers: entries };
    } finally {
      enough.abort();
    }
  }

  private async writeAll(fleet: Fleet): Promise<void> {
    const { changes, print } = this.options;
    const writers = Array.from({ length: WRITERS }, (_, index) =>
      this.writeLoop(fleet, `operator-${index + 1}`, index * changes),
    );
    await Promise.all(writers);
    await this.killing;
    const count = (wanted: string): number =>
      this.written.filter(({ outcome }) => outcome === wanted).length;
    print(
      `${this.written.length} changes: ${count('accepted')} accepted, ${count('refused')} ` +
        `refused, ${count('unknown')} unknown; ${this.kills} kills of one controller`,
    );
  }

  private async writeLoop(fleet: Fleet, name: string, offset: number): Promise<void> {
    const client = this.client(fleet, fleet.operator.controllers);
    const service = this.writtenService();
    const writer = new ChangeWriter(client, name, service);
    for (let index = 1; index <= this.options.changes; index += 1) {
      this.options.signal.throwIfAborted();
      const change = await writer.write(offset + index);
      this.written.push(change);
      if (change.outcome === 'accepted') this.noteAccepted(fleet);
    }
    client.close();
  }

  /** Kills in the midst of whatever the writers do meanwhile, one controller at a time. */
  private noteAccepted(fleet: Fleet): void {
    this.accepted += 1;
    if (this.accepted < this.nextKillAt) return;
    this.nextKillAt += this.options.changesPerKill;
    this.killing = this.killing.then(() => this.killOne(fleet));
  }

  /** The leader and another controller in turn. */
  private async killOne(fleet: Fleet): Promise<void> {
    const members = fleet.terms.controllers;
    const leader = await this.findLeader(fleet);
    const others = members.filter(({ memberId }) => memberId !== leader);
    const wantsLeader = this.kills % 2 === 0;
    const victim = wantsLeader
      ? leader
      : others[Math.floor(this.kills / 2) % others.length]?.memberId;
    if (victim === undefined) return;
    this.kills += 1;
    await fleet.kill(victim);
    await fleet.startController(victim);
    this.options.print(`killed ${victim}${wantsLeader ? ' (leader)' : ''}, started it again`);
  }

  private async restartAll(fleet: Fleet): Promise<void> {
    const members = fleet.terms.controllers.map(({ memberId }) => memberId);
    await Promise.all(members.map((memberId) => fleet.kill(memberId)));
    await Promise.all(members.map((memberId) => fleet.startController(memberId)));
    this.options.print('killed all controllers at once, started them again');
  }

  private async readViews(fleet: Fleet): Promise<ControllerView[]> {
    const views: ControllerView[] = [];
    for (const { memberId, http } of fleet.terms.controllers) {
      const client = this.client(fleet, [http]);
      const history = await client.get<HistoryReport>(HISTORY_TARGET);
      const { overrides } = await client.get<ConfigurationState>('/v1/configuration');
      const value = overrides[`service/${this.writtenService()}`]?.[WRITTEN_KEY];
      views.push({ memberId, history, value });
      client.close();
    }
    return views;
  }

  private async countInForce(fleet: Fleet, views: readonly ControllerView[]): Promise<number> {
    const { clock } = this.options.environment;
    const newest = views[0]?.history.changes[0]?.changeId ?? '';
    const client = this.client(fleet, fleet.operator.controllers);
    const giveUpAt = clock.now() + IN_FORCE_PATIENCE;
    for (;;) {
      const { force } = await client.get<ChangeReport>(`/v1/changes/${newest}`);
      const inForce = force?.inForce ?? 0;
      if (inForce < this.options.file.routers && clock.now() < giveUpAt) {
        await clock.sleep(POLL_INTERVAL, this.options.signal);
        continue;
      }
      client.close();
      this.options.print(`the last change is in force at ${inForce} routers`);
      return inForce;
    }
  }

  private async findLeader(fleet: Fleet): Promise<string | undefined> {
    const client = this.client(fleet, fleet.operator.controllers);
    const { leaderId } = await client.get<StatusReport>('/v1/status');
    client.close();
    return leaderId ?? undefined;
  }

  private client(fleet: Fleet, controllers: readonly Address[]): OperatorClient {
    const { network, clock } = this.options.environment;
    return new OperatorClient(network, clock, {
      controllers,
      token: fleet.operator.token,
      attemptTimeoutMs: ATTEMPT_TIMEOUT,
      totalTimeoutMs: TOTAL_TIMEOUT,
    });
  }

  private writtenService(): string {
    return this.options.file.services[0]?.name ?? '';
  }
}
