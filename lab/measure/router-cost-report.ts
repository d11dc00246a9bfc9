/** The record of a `measure router-cost` run, and its form for people. */
import type { Machine } from './machine.js';
import type { RouterCostOptions } from './router-cost-options.js';
import type { FanOutCost, RouterCost } from './router-cost.js';
import type { RouterMemory } from './router-memory.js';
import { formatFit, formatNumber, formatSpread, formatTable } from './table.js';

/** Everything one run found. */
export interface RouterCostReport {
  readonly machine: Machine;
  readonly options: RouterCostOptions;
  readonly cost: RouterCost;
  /** Undefined when it was not measured. */
  readonly memory: RouterMemory | undefined;
}

const COST_HEADER = [
  'fan-out',
  'bare dispatch µs',
  'bare request µs',
  'router µs',
  'router / dispatch',
  'router / request',
  'idle, core',
  'ratio without idle',
  'failed queries',
];

function costRow(cost: FanOutCost): string[] {
  return [
    String(cost.fanOut),
    formatSpread(cost.bareDispatch),
    formatSpread(cost.bareRequest),
    formatSpread(cost.router),
    formatSpread(cost.ratioToDispatch),
    formatSpread(cost.ratioToRequest),
    formatNumber(cost.idleCoreShare),
    formatNumber(cost.ratioWithoutIdle),
    JSON.stringify(cost.failedQueries),
  ];
}

function memoryLines(memory: RouterMemory): string[] {
  const lines = memory.inFlight.flatMap(({ fanOut, failedQueries, resident, managed }) => [
    `query in flight, fan-out ${fanOut}, resident bytes: ${formatFit(resident)}`,
    `query in flight, fan-out ${fanOut}, heap and buffers: ${formatFit(managed)}`,
    `  queries that ended early: ${JSON.stringify(failedQueries)}`,
  ]);
  const { resident, managed } = memory.idleConnections;
  return [
    ...lines,
    `idle caller connection, resident bytes: ${formatFit(resident)}`,
    `idle caller connection, heap and buffers: ${formatFit(managed)}`,
  ];
}

/** Markdown. */
export function formatRouterCost({ machine, options, cost, memory }: RouterCostReport): string {
  return [
    `Node ${machine.node}, ${machine.cores} cores (${machine.processor}), ` +
      `load average ${formatNumber(machine.loadAverage)} at the start, ${machine.at}`,
    `${options.backendRequestsPerSecond} back-end requests/s, ${options.rounds} rounds; ` +
      'CPU for each back-end request as median (minimum to maximum)',
    '',
    formatTable(COST_HEADER, cost.fanOuts.map(costRow)),
    '',
    `CPU µs of a query over its fan-out: ${formatFit(cost.perQuery)}`,
    ...(memory === undefined ? [] : memoryLines(memory)),
  ].join('\n');
}
