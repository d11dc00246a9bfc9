import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { NodeNetwork } from '../../../src/node/node-network.js';
import { PureRandomSource } from '../../../src/node/pure-random-source.js';
import { audit, type AuditReport } from '../../../lab/auditor/auditor.js';
import { DEFAULT_AUDIT_TERMS, type AuditTerms } from '../../../lab/auditor/audit-evidence.js';
import { countViolations, type ViolationCounts } from '../../../lab/auditor/violation.js';
import { Backend } from '../../../lab/backend/backend.js';
import { DEFAULT_BACKEND_OPTIONS } from '../../../lab/backend/backend-options.js';
import { BackendLedger } from '../../../lab/ledger/backend-ledger.js';
import { CallerLedger } from '../../../lab/ledger/caller-ledger.js';
import { Caller, DEADLINE_GRACE } from '../../../lab/load/caller.js';
import { QueryMix, queryKindSchema } from '../../../lab/load/query-mix.js';
import { ManualClock, until } from '../../support/manual-clock.js';
import { NaiveRouter, type NaiveFault } from './naive-router.js';

const SERVICE = 'kifu-audit';
const SHARDS = 3;
const DEADLINE = 1_000;
const LOOPBACK = { host: '127.0.0.1', port: 0 };
const NOTHING = countViolations([]);

/** Three shards, one router and one caller on real sockets and a manual clock. */
class Exchange {
  readonly clock = new ManualClock();
  readonly environment = {
    clock: this.clock,
    network: new NodeNetwork(),
    random: new PureRandomSource(3),
  };
  readonly backendLedger = new BackendLedger(this.clock);
  readonly callerLedger = new CallerLedger();
  readonly backends: Backend[] = [];
  private started: { router: NaiveRouter; caller: Caller } | undefined;

  async start(): Promise<void> {
    for (let shard = 0; shard < SHARDS; shard += 1) {
      const backend = await Backend.start(this.environment, {
        ...DEFAULT_BACKEND_OPTIONS,
        address: LOOPBACK,
        replicaId: `replica-${shard}`,
        service: SERVICE,
        shardIds: [`shard-${shard}`],
        serviceTime: {
          distribution: { kind: 'constant', mean: 0 },
          stragglers: { share: 0, minimumFactor: 1, maximumFactor: 1 },
        },
        ledger: this.backendLedger,
      });
      backend.publish({ layoutEpoch: 1, indexVersion: 2 });
      this.backends.push(backend);
    }
    const router = await NaiveRouter.start(this.environment, this.backends);
    const caller = new Caller(this.environment, {
      name: 'caller-1',
      target: 'router-1',
      address: router.address,
      connections: 1,
      oneWayLatency: 0,
      ledger: this.callerLedger,
    });
    this.started = { router, caller };
  }

  get router(): NaiveRouter {
    if (this.started === undefined) throw new Error('not started');
    return this.started.router;
  }

  /** Sends one request, a little later than the one before. */
  async send(fault: NaiveFault | undefined, repeatable = true): Promise<void> {
    this.router.fault = fault;
    this.clock.advance(1);
    const kind = queryKindSchema.parse({ service: SERVICE, deadlineMs: DEADLINE, repeatable });
    const sent = this.started?.caller.send(new QueryMix([kind], this.environment.random).next());
    if (fault === 'never_answer') {
      await until(() => this.backendLedger.entries.length === SHARDS);
      this.clock.advance(DEADLINE + DEADLINE_GRACE);
    }
    await sent;
  }

  audit(terms: AuditTerms = DEFAULT_AUDIT_TERMS): AuditReport {
    const callers = this.callerLedger.entries;
    return audit({ backends: this.backendLedger, callers, terms });
  }

  async stop(): Promise<void> {
    await this.started?.caller.close();
    for (const backend of this.backends) await backend.crash();
  }
}

describe('audit', () => {
  let exchange: Exchange;

  beforeEach(async () => {
    exchange = new Exchange();
    await exchange.start();
  });

  afterEach(() => exchange.stop());

  it('finds nothing in a run that keeps every promise', async () => {
    await exchange.send(undefined);
    await exchange.backends[0]?.crash();
    await exchange.send(undefined, false);
    await exchange.send('send_twice');
    expect(exchange.callerLedger.entries.map(({ outcome }) => outcome)).toEqual(
      Array.from({ length: 3 }, () => 'answered'),
    );
    expect(exchange.audit().counts).toEqual(NOTHING);
  });

  it.each<[NaiveFault, Partial<ViolationCounts>]>([
    // The shard is also not reached at the snapshot that the answer states.
    ['old_snapshot_for_last_shard', { mixedSnapshot: 1, falseCoverage: 1 }],
    ['conceal_missing_shards', { falseCoverage: 1 }],
    ['claim_missing_as_reached', { falseCoverage: 1 }],
    ['overstate_fraction', { falseCoverage: 1 }],
    // One of the three shards of the previous request cannot be reached any more.
    ['results_of_previous_request', { foreignReply: 3, falseCoverage: 1 }],
    ['name_another_request', { foreignReply: 1 }],
    ['halve_a_result', { foreignReply: 1 }],
    ['drop_a_result', { falseCoverage: 1 }],
    ['refuse_after_running', { falseNotRun: 1 }],
    ['close_without_answer', { cutInFlight: 1 }],
  ])('reports %s as %o', async (fault, expected) => {
    await exchange.send(undefined);
    await exchange.backends[0]?.crash();
    await exchange.send(fault);
    expect(exchange.audit().counts).toEqual({ ...NOTHING, ...expected });
  });

  it.each<NaiveFault>(['send_twice', 'replan_on_older_snapshot'])(
    'reports duplicateRun for %s of a request that is not repeatable',
    async (fault) => {
      await exchange.send(fault, false);
      expect(exchange.audit().counts).toEqual({ ...NOTHING, duplicateRun: 1 });
    },
  );

  it('reports duplicateRun where the shards of one request ran at two snapshots', async () => {
    await exchange.send('old_snapshot_for_last_shard', false);
    expect(exchange.audit().counts.duplicateRun).toBe(1);
  });

  it('reports unanswered', async () => {
    await exchange.send('never_answer');
    expect(exchange.audit().counts).toEqual({ ...NOTHING, unanswered: 1 });
  });

  it('reports settingsReverted at one router', async () => {
    await exchange.send(undefined);
    await exchange.send('revert_settings');
    expect(exchange.audit().counts).toEqual({ ...NOTHING, settingsReverted: 1 });
  });

  it('reports workAfterDrain only once the grace period is over', async () => {
    exchange.backends[0]?.drain();
    exchange.clock.advance(DEFAULT_AUDIT_TERMS.drainGrace - 1);
    await exchange.send(undefined);
    expect(exchange.audit().counts).toEqual(NOTHING);
    await exchange.send(undefined);
    expect(exchange.audit().counts).toEqual({ ...NOTHING, workAfterDrain: 1 });
  });

  it('reports what a stopped back end did not finish, and excuses a crash', async () => {
    exchange.backends[0]?.setFault({ kind: 'stall' });
    const sent = exchange.send(undefined);
    await until(() => exchange.backendLedger.entries.length === 1);
    exchange.backendLedger.recordEvent(
      'replica-0',
      exchange.backends[0]?.incarnation ?? 0,
      'stopped',
    );
    expect(exchange.audit().counts).toEqual({ ...NOTHING, cutInFlight: 1 });
    await exchange.backends[0]?.crash();
    await sent;
    expect(exchange.audit().counts).toEqual(NOTHING);
  });

  it('excuses the cuts of a router that was killed on purpose, at that time only', async () => {
    await exchange.send('close_without_answer');
    const loss = { target: 'router-1', from: 0, until: 10 };
    const counts = (until: number): unknown =>
      exchange.audit({ ...DEFAULT_AUDIT_TERMS, unplannedLosses: [{ ...loss, until }] }).counts;
    expect(counts(10)).toEqual(NOTHING);
    expect(counts(0)).toEqual({ ...NOTHING, cutInFlight: 1 });
  });
});
