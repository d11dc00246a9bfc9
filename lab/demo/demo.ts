/** The demo: real queries to a real fleet while things go wrong, then an audit. */
import type { Environment } from '../../src/seams/environment.js';
import type { FleetFile } from '../fleet/fleet-file.js';
import type { Fleet } from '../fleet/fleet.js';
import { withFleet } from '../fleet/with-fleet.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { formatLoadTable } from '../load/load-table.js';
import { runLoad } from '../load/run-load.js';
import type { QueryKind } from '../load/query-mix.js';
import { describeAnswer, describeOutcomes } from './answer-text.js';
import type { DemoEvidence } from './demo-evidence.js';
import { DemoIncidents } from './demo-incidents.js';
import { judgeDemo, type DemoVerdict } from './demo-verdict.js';
import { LOST_SHARD_QUERIES, askWithoutShard } from './lost-shard.js';
import { HELD_QUERIES, stopWhileInFlight, type PlannedStopOutcome } from './planned-stop.js';

/** Sent at most; queries end a little after the last incident. */
const MAXIMUM_REQUESTS = 2_000;
/** Queries go on for so long after the last incident. Milliseconds. */
const AFTERMATH = 1_500;
/** Requests a second. */
const RATE = 40;
/** Slows the replicas of the service whose queries are in flight at the planned stop. */
const HOLD_FACTOR = 200;

/** Most problems that are told one by one. */
const MAXIMUM_PROBLEMS = 20;

/** What a run needs. */
export interface DemoOptions {
  readonly environment: Environment;
  readonly file: FleetFile;
  readonly folder?: string | undefined;
  readonly signal: AbortSignal;
  /** Gets one line, or several, at a time. */
  readonly print: (text: string) => void;
}

/** What is known once the queries have ended, before the processes are stopped. */
type DemoRun = Omit<DemoEvidence, 'backends' | 'processes'>;

/** One run. */
export class Demo {
  private readonly startedAt: number;
  private readonly texts = new Map<string, string>();

  constructor(private readonly options: DemoOptions) {
    this.startedAt = options.environment.clock.now();
  }

  /** @throws Error when the run cannot be finished; no process is left then either. */
  async run(): Promise<DemoVerdict> {
    const { file, print } = this.options;
    const replicas = file.services.map(({ shards, replicasPerShard }) => shards * replicasPerShard);
    this.tell(
      `starting the ${file.name} fleet: ${file.controllers} controllers, ${file.routers} routers, ` +
        `${replicas.reduce((sum, count) => sum + count)} replicas of ${file.services.length} services`,
    );
    return withFleet(
      this.options,
      (fleet) => this.use(fleet),
      async (fleet, run) => {
        this.tell('every process has ended; comparing what callers and back ends noted');
        const backends = await fleet.readLedgers();
        const verdict = judgeDemo({ ...run, backends, processes: fleet.record });
        for (const problem of verdict.problems.slice(0, MAXIMUM_PROBLEMS))
          print(`PROBLEM ${problem}`);
        return verdict;
      },
    );
  }

  private tell(line: string): void {
    const seconds = (this.options.environment.clock.now() - this.startedAt) / 1_000;
    const [first, ...rest] = line.split('\n');
    this.options.print(`${seconds.toFixed(1).padStart(5)} s  ${first}`);
    for (const each of rest) this.options.print(indent(each));
  }

  private async use(fleet: Fleet): Promise<DemoRun> {
    const { environment, print, file } = this.options;
    const incidents = new DemoIncidents(environment, fleet, (line) => this.tell(line));
    this.tell(`all of it runs; sending ${RATE} queries a second`);
    const callers = await this.sendQueries(fleet, incidents);
    const lost = await this.loseShard(fleet, incidents);
    this.tell('the cluster, as `driftway status` shows it');
    print(indent(await fleet.operator.require('status')));
    const stops = await this.stopRouters(fleet, incidents);
    const all = [...callers, ...lost, ...stops.flatMap(({ entries }) => entries)];
    this.tell('what the callers got');
    print(indent(formatLoadTable(all)));
    this.printSamples(callers);
    this.tell('stopping everything else with SIGTERM');
    return {
      planned: this.texts.size + LOST_SHARD_QUERIES + fleet.routers.length * HELD_QUERIES,
      services: [...new Set(file.queries.map(({ service }) => service))],
      routers: fleet.routers.map(({ name }) => name),
      callers: all,
      replicas: incidents.replicas,
      change: incidents.change,
      repartitioned: incidents.repartitioned,
      inFlightAtStop: Math.min(...stops.map(({ inFlight }) => inFlight)),
    };
  }

  private async sendQueries(
    fleet: Fleet,
    incidents: DemoIncidents,
  ): Promise<readonly CallerLedgerEntry[]> {
    const { environment, file, signal } = this.options;
    const enough = new AbortController();
    const load = runLoad(environment, {
      targets: fleet.routers,
      queries: file.queries,
      clientLatency: file.clientLatency,
      rate: RATE,
      requests: MAXIMUM_REQUESTS,
      arrivals: 'poisson',
      signal: AbortSignal.any([enough.signal, signal]),
      onSend: ({ request }) => {
        this.texts.set(request.requestId, (request.query as { text: string }).text);
      },
    });
    const happenings = incidents.run(signal).then(() => environment.clock.sleep(AFTERMATH, signal));
    const [ledger] = await Promise.all([load, happenings.finally(() => enough.abort())]);
    return ledger.entries;
  }

  private async loseShard(
    fleet: Fleet,
    incidents: DemoIncidents,
  ): Promise<readonly CallerLedgerEntry[]> {
    const { environment, file } = this.options;
    const service = file.services[0]?.name;
    const kind = file.queries.find((each) => each.service === service);
    if (kind === undefined) throw new RangeError('the fleet file does not ask its first service');
    return askWithoutShard(environment, fleet, incidents, kind, (line) => this.tell(line));
  }

  /** All at the same time: each gives notice for some seconds before it closes. */
  private async stopRouters(
    fleet: Fleet,
    incidents: DemoIncidents,
  ): Promise<readonly PlannedStopOutcome[]> {
    const { environment, signal } = this.options;
    const kind = this.kindToHold();
    await incidents.slowDown(kind.service, HOLD_FACTOR);
    const stops = fleet.routers.map(async (target) => {
      const outcome = await stopWhileInFlight(environment, fleet, target, kind, signal);
      this.tell(
        `${target.name} was told to stop with ${outcome.inFlight} queries in flight; ` +
          `they ended: ${describeOutcomes(outcome.entries)}`,
      );
      return outcome;
    });
    return Promise.all(stops);
  }

  /** Queries of a single-server service, so that none waits for a slot. */
  private kindToHold(): QueryKind {
    const { services, queries } = this.options.file;
    const isSingle = (kind: QueryKind): boolean =>
      services.some(({ name, kind: type }) => name === kind.service && type === 'single');
    const kind = queries.findLast(isSingle) ?? queries.at(-1);
    if (kind === undefined) throw new RangeError('the fleet file asks nothing');
    return kind;
  }

  /** One answer of each kind of query, and one request that got none. */
  private printSamples(callers: readonly CallerLedgerEntry[]): void {
    this.tell('some of the answers');
    const seen = new Set<string>();
    for (const entry of callers.toReversed()) {
      const { service, keyed, outcome } = entry;
      const sort = outcome === 'answered' ? `${service} ${keyed}` : 'no answer';
      if (seen.has(sort)) continue;
      seen.add(sort);
      const text = this.texts.get(entry.requestId) ?? '';
      this.options.print(indent(describeAnswer(entry, text)));
    }
  }
}

function indent(text: string): string {
  return text.trimEnd().replace(/^/gm, '         ');
}
