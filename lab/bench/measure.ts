/** Turns the record of a run into figures. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { ServiceDefinition } from '../../src/model/service-definition.js';
import type { ServiceSettings } from '../../src/settings/service-settings.js';
import { BackendWork, type WorkSums } from './backend-work.js';
import {
  HISTOGRAM_UNITS_PER_MS,
  latencyFigures,
  type PeriodFigures,
  type ServiceFigures,
} from './bench-figures.js';
import type { BenchRecord, RequestRecord } from './bench-record.js';
import type { Oracle } from './oracle.js';

const MILLISECONDS_PER_SECOND = 1_000;
const LONGEST_LATENCY_MS = 600_000;
const SIGNIFICANT_DIGITS = 3;

/** A service as it is measured. */
export interface MeasuredService {
  readonly definition: ServiceDefinition;
  /** As the trace states them, so that all policy sets meet the same oracle. */
  readonly settings: ServiceSettings;
  /** Requests that its slots can work on in a second. */
  readonly capacity: number;
}

/** Requests scheduled in [from, to) are measured. Milliseconds since the start of the run. */
export interface Period {
  readonly from: number;
  readonly to: number;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_LATENCY_MS * HISTOGRAM_UNITS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function recordLatency(histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.round(milliseconds * HISTOGRAM_UNITS_PER_MS));
}

/** Collects the figures of one service, or of all together. */
class FiguresCollector {
  private requests = 0;
  private answered = 0;
  private refused = 0;
  private coverageSum = 0;
  private belowRequired = 0;
  private full = 0;
  private oracleFull = 0;
  private oracleAnswerable = 0;
  private readonly latency = createHistogram();
  private readonly oracleLatency = createHistogram();
  private readonly work: WorkSums = { attempts: 0, needed: 0, worked: 0, wasted: 0 };

  addOutcome({ entry }: RequestRecord, settings: ServiceSettings): void {
    this.requests += 1;
    const fraction = entry.answer?.coverage.fraction ?? 0;
    this.coverageSum += fraction;
    if (fraction < settings.requiredCoverage) this.belowRequired += 1;
    if (fraction === 1) this.full += 1;
    if (entry.outcome === 'answered') {
      this.answered += 1;
      recordLatency(this.latency, entry.latencyMs);
    }
    if (entry.outcome === 'refused_not_run') this.refused += 1;
  }

  addWork(request: RequestRecord, backendWork: BackendWork): void {
    backendWork.add(request, this.work);
  }

  addOracle(request: RequestRecord, service: MeasuredService, oracle: Oracle): void {
    const { settings, definition } = service;
    const shardCount = definition.layouts[0]?.shards.length ?? 0;
    const required = Math.max(1, Math.ceil(settings.requiredCoverage * shardCount - 1e-9));
    const waitsForAll = settings.completionPolicy === 'wait_for_all';
    const { latency, isFull } = oracle.answer(definition, {
      queryDigest: request.entry.queryDigest,
      scheduledAt: request.scheduledAt,
      deadline: request.entry.deadlineMs,
      zone: request.zone,
      shardsAwaited: waitsForAll ? shardCount : required,
    });
    if (isFull) this.oracleFull += 1;
    if (latency === undefined) return;
    this.oracleAnswerable += 1;
    recordLatency(this.oracleLatency, latency);
  }

  figures(period: Period, capacity: number): ServiceFigures {
    const { work } = this;
    const share = (count: number): number => (this.requests === 0 ? 0 : count / this.requests);
    const seconds = (period.to - period.from) / MILLISECONDS_PER_SECOND;
    return {
      requests: this.requests,
      answered: this.answered,
      refused: this.refused,
      failed: this.requests - this.answered - this.refused,
      latency: latencyFigures(this.latency),
      coverage: {
        mean: share(this.coverageSum),
        shareBelowRequired: share(this.belowRequired),
        fullShare: share(this.full),
      },
      extraLoad: {
        attempts: work.needed === 0 ? 0 : work.attempts / work.needed - 1,
        wastedMs: work.wasted,
        wastedShare: work.worked === 0 ? 0 : work.wasted / work.worked,
      },
      oracle: {
        latency: latencyFigures(this.oracleLatency),
        fullShare: share(this.oracleFull),
        answerableShare: share(this.oracleAnswerable),
      },
      goodputToCapacity: this.answered / seconds / capacity,
    };
  }
}

/** Measures any period of one run. */
export class Measurement {
  private readonly work: BackendWork;

  constructor(
    private readonly record: BenchRecord,
    private readonly services: ReadonlyMap<string, MeasuredService>,
    private readonly oracle: Oracle,
  ) {
    this.work = new BackendWork(record.backends.entries);
  }

  period(period: Period): PeriodFigures {
    const all = new FiguresCollector();
    const collectors = new Map(
      [...this.services.keys()].map((name) => [name, new FiguresCollector()]),
    );
    const teams = new Map<string, FiguresCollector>();
    for (const request of this.record.requests) {
      if (request.scheduledAt < period.from || request.scheduledAt >= period.to) continue;
      const service = this.services.get(request.entry.service);
      const own = collectors.get(request.entry.service);
      if (service === undefined || own === undefined) continue;
      const team = teams.get(request.team) ?? new FiguresCollector();
      teams.set(request.team, team);
      for (const collector of [all, own, team]) {
        collector.addOutcome(request, service.settings);
        collector.addWork(request, this.work);
        collector.addOracle(request, service, this.oracle);
      }
    }
    return this.collect(period, all, collectors, teams);
  }

  private collect(
    period: Period,
    all: FiguresCollector,
    collectors: ReadonlyMap<string, FiguresCollector>,
    teams: ReadonlyMap<string, FiguresCollector>,
  ): PeriodFigures {
    let capacity = 0;
    const services: Record<string, ServiceFigures> = {};
    for (const [name, collector] of collectors) {
      const own = this.services.get(name)?.capacity ?? 0;
      capacity += own;
      services[name] = collector.figures(period, own);
    }
    const ofTeams = [...teams].map(([team, each]) => [team, each.figures(period, capacity)]);
    return {
      all: all.figures(period, capacity),
      services,
      teams: Object.fromEntries(ofTeams) as Record<string, ServiceFigures>,
    };
  }
}
