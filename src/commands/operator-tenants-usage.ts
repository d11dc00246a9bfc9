/** `driftway tenants usage`: how far tenants have used their limits, and who grants. */
import { Command, Option } from 'clipanion';
import type { TenantUsageList } from '../administration/response-schemas.js';
import { formatTable } from '../operator/format-table.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

const TARGET = '/v1/tenant-usage';
const MILLISECONDS_PER_SECOND = 1_000;

export function formatTenantUsage({ owner, windowMs, tenants }: TenantUsageList): string {
  const seconds = windowMs / MILLISECONDS_PER_SECOND;
  const head = `Granted by ${owner}; requests of the last ${seconds} s.\n`;
  if (tenants.length === 0) return `${head}No tenant has a limit.\n`;
  const rows = tenants.map((tenant) => [
    tenant.name,
    `${tenant.requestsPerSecond}/s + ${tenant.burst}`,
    `${tenant.admitted} of ${Math.round(tenant.allowed)}`,
    String(tenant.refused),
    String(tenant.refusedWithoutOwner),
  ]);
  const titles = ['TENANT', 'LIMIT', 'ADMITTED', 'OVER LIMIT', 'NOBODY TO ASK'];
  return head + formatTable(titles, rows);
}

export class TenantsUsageCommand extends OperatorCommand {
  static override paths = [['tenants', 'usage']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Show how far tenants have used their limits',
    details: `
      Of about the last window, by the controller that grants tokens; any other one names it.
      Requests that gateways refused by themselves are told with their next question, so that
      those of a tenant that has fallen silent may lack.
    `,
    examples: [
      ['All tenants with a limit', 'driftway tenants usage'],
      ['One that complains of 429', 'driftway tenants usage acme'],
    ],
  });

  name = Option.String({ name: 'NAME', required: false });

  protected override run(client: OperatorClient): Promise<TenantUsageList> {
    const query = this.name === undefined ? '' : `?name=${encodeURIComponent(this.name)}`;
    return client.get<TenantUsageList>(`${TARGET}${query}`);
  }

  protected override format(answer: unknown): string {
    return formatTenantUsage(answer as TenantUsageList);
  }
}
