/** The metrics reference for operators, written from what the daemons register. */
import { daemonMetrics, type RegisteredMetric } from './daemon-metrics.js';
import { METRIC_ALARMS } from './metric-alarms.js';

const INTRODUCTION = `# Metrics

<!-- Written by \`npm run docs\` from what the daemons register; do not edit. -->

Both daemons serve \`/metrics\` in the Prometheus text format, \`/livez\` (200 while the process
runs) and \`/readyz\` (200 while it is of use, otherwise 503 with the reason) on \`listen.http\`,
without a token. Besides the metrics below there are those that prom-client collects of every
Node.js process, such as \`process_cpu_seconds_total\` and \`process_resident_memory_bytes\`.

Counters come first: a log line is written only when something changes state, so alarms belong on
metrics.
`;

function table(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const line = (cells: readonly string[]): string =>
    `| ${cells.map((cell) => cell.replaceAll('|', '\\|')).join(' | ')} |`;
  return [line(header), line(header.map(() => '---')), ...rows.map(line)].join('\n');
}

function metricTable(metrics: readonly RegisteredMetric[]): string {
  const rows = metrics.map(({ name, type, labels, help }) => [
    `\`${name}\``,
    type,
    labels.map((label) => `\`${label}\``).join(', '),
    help,
  ]);
  return table(['metric', 'type', 'labels', 'meaning'], rows);
}

function linkTo(heading: string): string {
  const anchor = heading
    .toLowerCase()
    .replaceAll(/[^a-z0-9 -]/g, '')
    .replaceAll(' ', '-');
  return `[${heading}](runbooks.md#${anchor})`;
}

function alarmTable(): string {
  const rows = METRIC_ALARMS.map(({ expression, meaning, runbook }) => [
    `\`${expression}\``,
    meaning,
    linkTo(runbook),
  ]);
  return table(['alarm when', 'meaning', 'runbook'], rows);
}

/** Markdown. */
export async function metricsReference(): Promise<string> {
  const { controller, router, gateway } = await daemonMetrics();
  const alarms =
    'Thresholds are starting points; none was measured on a real cluster. `for 30s` stands for ' +
    "the `for` of an alerting rule. Put the cluster's name before each where one Prometheus " +
    'watches several.';
  return [
    INTRODUCTION,
    `## What to alarm on\n\n${alarms}\n\n${alarmTable()}\n`,
    `## Controller\n\n${metricTable(controller)}\n`,
    `## Router\n\n${metricTable(router)}\n`,
    `## Gateway\n\nServed on \`listen.health\`.\n\n${metricTable(gateway)}\n`,
  ].join('\n');
}
