/** The record of one measurement of agreement, and its text. */
import type { Machine } from '../measure/machine.js';
import { summarize } from '../measure/spread.js';
import { formatNumber, formatSpread, formatTable } from '../measure/table.js';
import type { LatencyRound } from './commit-latency.js';
import type { Failover } from './failover.js';
import type { FolderSize } from './growth.js';
import type { KillLoopResult } from './kill-loop.js';
import type { ReplacementTrial } from './replacement-trial.js';

export interface ConsensusReport {
  readonly machine: Machine;
  readonly controllers: number;
  readonly latency: readonly LatencyRound[];
  readonly growth: readonly FolderSize[];
  readonly failovers: readonly Failover[];
  readonly killLoop: KillLoopResult;
  readonly replacement: ReplacementTrial;
}

function formatLatency(rounds: readonly LatencyRound[]): string {
  const spread = (read: (round: LatencyRound) => number): string =>
    formatSpread(summarize(rounds.map(read)));
  return formatTable(
    ['quantity', 'median of rounds (least to most)'],
    [
      ['one sync, median, ms', spread(({ syncMedian }) => syncMedian)],
      ['accepted change, median, ms', spread(({ changeMedian }) => changeMedian)],
      ['accepted change, p99, ms', spread(({ change99 }) => change99)],
      ['change / sync, of medians', spread(({ ratio }) => ratio)],
    ],
  );
}

function formatFailovers(kills: readonly Failover[]): string {
  const spread = (read: (kill: Failover) => number): string =>
    formatSpread(summarize(kills.map(read)));
  return formatTable(
    ['after kill -9 of the leader', 'median (least to most), ms'],
    [
      ['another leads and has committed', spread(({ leaderAfter }) => leaderAfter)],
      ['the next change is accepted', spread(({ acceptedAfter }) => acceptedAfter)],
      [
        'from its restart, the killed one has caught up',
        spread(({ caughtUpAfterRestart }) => caughtUpAfterRestart),
      ],
    ],
  );
}

function formatGrowth(sizes: readonly FolderSize[]): string {
  const rows = sizes.map(({ changes, logBytes, snapshotBytes }) =>
    [changes, logBytes, snapshotBytes].map(formatNumber),
  );
  return formatTable(['accepted changes', 'log, bytes', 'snapshot, bytes'], rows);
}

function formatReplacement(trial: ReplacementTrial): string {
  return [
    `The wiped controller ended with exit code ${trial.refusedExitCode}: ${trial.refusedReason}`,
    `Added, promoted, old one removed: ${formatNumber(trial.replacedWithin)} ms.`,
    `Next change after kill -9 of a second one: ${formatNumber(trial.acceptedAfterSecondKill)} ms.`,
    `Accepted ${trial.acceptedChanges} changes; ${trial.lostChanges} lost.`,
  ].join('\n');
}

function formatKillLoop(result: KillLoopResult): string {
  const { kills, acceptedChanges, lostChanges, failedChanges } = result;
  return (
    `${kills} kills amid changes without a pause, the last of all at once: ` +
    `${acceptedChanges} accepted, ${lostChanges} lost, ${failedChanges} given up.`
  );
}

export function formatConsensusReport(report: ConsensusReport): string {
  const { machine, controllers } = report;
  return [
    `${controllers} controllers on loopback; ${machine.cores} cores, ${machine.processor}, ` +
      `Node ${machine.node}, load ${formatNumber(machine.loadAverage)} at ${machine.at}`,
    formatLatency(report.latency),
    formatFailovers(report.failovers),
    formatGrowth(report.growth),
    formatKillLoop(report.killLoop),
    formatReplacement(report.replacement),
  ].join('\n\n');
}
