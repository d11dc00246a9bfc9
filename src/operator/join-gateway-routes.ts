/** What several controllers know of gateways and their route documents, as one list. */
import type { StatusReport } from '../administration/response-schemas.js';

type RoutesReport = StatusReport['routes'];
type GatewayReport = RoutesReport['gateways'][number];

/** The report with the newer version is the later word; of two alike, the longer lack counts. */
function isBetter(report: GatewayReport, known: GatewayReport): boolean {
  if (report.version !== known.version) return report.version > known.version;
  return (report.lackingMs ?? 0) > (known.lackingMs ?? 0);
}

/** Each gateway once, by name, and the newest version that any controller knows. */
export function joinGatewayRoutes(reports: readonly RoutesReport[]): RoutesReport {
  const versions = reports.map(({ version }) => version).filter((version) => version !== null);
  const joined = new Map<string, GatewayReport>();
  for (const report of reports.flatMap(({ gateways }) => gateways)) {
    const known = joined.get(report.gateway);
    if (known === undefined || isBetter(report, known)) joined.set(report.gateway, report);
  }
  return {
    version: versions.length === 0 ? null : Math.max(...versions),
    gateways: [...joined.values()].sort((left, right) => (left.gateway < right.gateway ? -1 : 1)),
  };
}
