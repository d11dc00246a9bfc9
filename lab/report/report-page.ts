/** Writes runs of one trace as an HTML page that needs nothing else to be read. */
import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import { comparisonTable, type ComparedRun } from '../bench/comparison-table.js';
import { reportCharts, type ReportChart } from './report-charts.js';

/** What the page is about. */
export interface ReportSubject {
  readonly trace: string;
  readonly description: string;
  readonly seed: number;
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

/** Draws without a browser. */
async function drawChart({ heading, specification }: ReportChart): Promise<string> {
  const view = new View(parse(compile(specification).spec), { renderer: 'none' });
  const drawing = await view.toSVG();
  view.finalize();
  return `<h2>${escapeHtml(heading)}</h2>\n${drawing}`;
}

/** The whole page. */
export async function reportPage(
  subject: ReportSubject,
  runs: readonly ComparedRun[],
): Promise<string> {
  const { trace, description, seed } = subject;
  const title = escapeHtml(`${trace}, seed ${seed}`);
  const drawings: string[] = [];
  for (const chart of reportCharts(runs)) drawings.push(await drawChart(chart));
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title></head><body>`,
    `<h1>${title}</h1>`,
    `<p>${escapeHtml(description)}</p>`,
    `<pre>${escapeHtml(comparisonTable(runs))}</pre>`,
    ...drawings,
    '</body></html>\n',
  ].join('\n');
}
