/**
 * CPU of the router for each back-end request, against a bare undici client
 * that sends the same requests to the same back ends. The two take turns in one
 * run, so that whatever else the machine does falls on both.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { BareInterface } from './bare-client-child.js';
import { fitLine, type LinearFit } from './linear-fit.js';
import { coreShare, type ProcessUsage } from './process-usage.js';
import type { Progress } from './progress.js';
import { RouterBench } from './router-bench.js';
import type { RouterCostOptions } from './router-cost-options.js';
import { summarize, type Spread } from './spread.js';

const CONNECTIONS = 800;
const SERVICE_TIME = 2;

/** One reading: CPU of the process under measure for each request it sent to a back end. */
export interface CostReading {
  readonly microseconds: number;
  readonly requestsPerSecond: number;
}

/** One alternation. Microseconds of CPU for each back-end request. */
export interface CostRound {
  readonly bareDispatch: CostReading;
  readonly bareRequest: CostReading;
  readonly router: CostReading;
}

/** All rounds of one fan-out. */
export interface FanOutCost {
  readonly fanOut: number;
  readonly rounds: readonly CostRound[];
  /** Router against undici's `dispatch`, round by round. */
  readonly ratioToDispatch: Spread;
  /** Router against undici's `request`, round by round. */
  readonly ratioToRequest: Spread;
  readonly bareDispatch: Spread;
  readonly bareRequest: Spread;
  readonly router: Spread;
  /** Share of one core that the router uses without queries: polls of reports, for the most part. */
  readonly idleCoreShare: number;
  /** Router less its idle use, against `dispatch`. */
  readonly ratioWithoutIdle: number;
  /** Queries that did not end in an answer, by HTTP status. */
  readonly failedQueries: Readonly<Record<string, number>>;
}

/** Cost of every fan-out, and of a query as a line over fan-out. */
export interface RouterCost {
  readonly fanOuts: readonly FanOutCost[];
  /** Microseconds for each query over back-end requests for each query, idle use taken off. */
  readonly perQuery: LinearFit;
}

interface Subject {
  usage(): Promise<ProcessUsage>;
  requests(): Promise<number>;
}

async function read(subject: Subject, settle: number, interval: number): Promise<CostReading> {
  await sleep(settle);
  const [requestsBefore, before] = await Promise.all([subject.requests(), subject.usage()]);
  await sleep(interval);
  const [requestsAfter, after] = await Promise.all([subject.requests(), subject.usage()]);
  const requests = requestsAfter - requestsBefore;
  return {
    microseconds: (after.cpuMicroseconds - before.cpuMicroseconds) / requests,
    requestsPerSecond: (requests * 1_000) / (after.at - before.at),
  };
}

/** Measures one fan-out. */
class FanOutMeasurement {
  private readonly queriesPerSecond: number;

  constructor(
    private readonly bench: RouterBench,
    private readonly fanOut: number,
    private readonly options: RouterCostOptions,
  ) {
    this.queriesPerSecond = options.backendRequestsPerSecond / fanOut;
  }

  async run(progress: Progress): Promise<FanOutCost> {
    const rounds: CostRound[] = [];
    await this.round();
    const idleCoreShare = await this.readIdle();
    for (let number = 1; number <= this.options.rounds; number += 1) {
      const round = await this.round();
      rounds.push(round);
      const { bareDispatch, bareRequest, router } = round;
      const costs = [bareDispatch, bareRequest, router].map((cost) => cost.microseconds.toFixed(1));
      progress(`fan-out ${this.fanOut} round ${number}: ${costs.join(' / ')} µs`);
    }
    const { failed } = await this.bench.load.call('counts', undefined);
    return this.conclude(rounds, idleCoreShare, failed);
  }

  private conclude(
    rounds: readonly CostRound[],
    idleCoreShare: number,
    failedQueries: Readonly<Record<string, number>>,
  ): FanOutCost {
    const idlePerRequest = (idleCoreShare * 1e6) / this.options.backendRequestsPerSecond;
    const router = summarize(rounds.map((round) => round.router.microseconds));
    const bareDispatch = summarize(rounds.map((round) => round.bareDispatch.microseconds));
    return {
      fanOut: this.fanOut,
      rounds,
      ratioToDispatch: summarize(
        rounds.map((round) => round.router.microseconds / round.bareDispatch.microseconds),
      ),
      ratioToRequest: summarize(
        rounds.map((round) => round.router.microseconds / round.bareRequest.microseconds),
      ),
      bareDispatch,
      bareRequest: summarize(rounds.map((round) => round.bareRequest.microseconds)),
      router,
      idleCoreShare,
      ratioWithoutIdle: (router.median - idlePerRequest) / bareDispatch.median,
      failedQueries,
    };
  }

  private async round(): Promise<CostRound> {
    const bareDispatch = await this.readBare('dispatch');
    const bareRequest = await this.readBare('request');
    const router = await this.readRouter();
    return { bareDispatch, bareRequest, router };
  }

  private async readBare(chosen: BareInterface): Promise<CostReading> {
    const { bareClient, ports } = this.bench;
    const { queriesPerSecond } = this;
    const connections = CONNECTIONS;
    await bareClient.call('start', { ports, connections, queriesPerSecond, interface: chosen });
    const subject: Subject = {
      usage: () => bareClient.call('usage', false),
      requests: async () => (await bareClient.call('counts', undefined)).answered,
    };
    const reading = await read(subject, this.options.settle, this.options.interval);
    await bareClient.call('stop', undefined);
    return reading;
  }

  private async readRouter(): Promise<CostReading> {
    const { load, router, routerPort: port } = this.bench;
    await load.call('start', { port, queriesPerSecond: this.queriesPerSecond });
    const subject: Subject = {
      usage: () => router.call('usage', false),
      requests: () => router.call('attempts', undefined),
    };
    const reading = await read(subject, this.options.settle, this.options.interval);
    await load.call('stop', undefined);
    return reading;
  }

  private async readIdle(): Promise<number> {
    const { router } = this.bench;
    await sleep(this.options.settle);
    const before = await router.call('usage', false);
    await sleep(this.options.interval);
    return coreShare(before, await router.call('usage', false));
  }
}

function fitQueries(costs: readonly FanOutCost[], backendRequestsPerSecond: number): LinearFit {
  return fitLine(
    costs.map(({ fanOut, router, idleCoreShare }) => {
      const perRequest = router.median - (idleCoreShare * 1e6) / backendRequestsPerSecond;
      return { x: fanOut, y: perRequest * fanOut };
    }),
  );
}

/** Runs every fan-out, one after the other. */
export async function measureRouterCost(
  options: RouterCostOptions,
  progress: Progress,
): Promise<RouterCost> {
  const fanOuts: FanOutCost[] = [];
  for (const fanOut of options.fanOuts) {
    const bench = await RouterBench.start({
      fanOut,
      backendProcesses: options.backendProcesses,
      connections: CONNECTIONS,
      serviceTime: SERVICE_TIME,
    });
    try {
      fanOuts.push(await new FanOutMeasurement(bench, fanOut, options).run(progress));
    } finally {
      await bench.stop();
    }
  }
  return { fanOuts, perQuery: fitQueries(fanOuts, options.backendRequestsPerSecond) };
}
