/** `driftway tenants list` and `explain`: who may send requests, with which rank and limit. */
import { Command, Option } from 'clipanion';
import type { TenantList, TenantReport } from '../administration/response-schemas.js';
import { formatTable } from '../operator/format-table.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { shortDigestOf } from '../tenants/key-digest.js';
import { OperatorCommand } from './operator-command.js';

const TARGET = '/v1/tenants';

const NO_LIMIT = 'none';
const PRIORITY_OF_ROUTE = 'of the route';

function formatTenants({ version, tenants }: TenantList): string {
  if (version === null) return 'There is no route document yet.\n';
  if (tenants.length === 0) return `No such tenant in version ${version} of the routes.\n`;
  const header = ['TENANT', 'PRIORITY', 'REQUESTS/S', 'BURST', 'KEYS'];
  const rows = tenants.map(({ name, priority, requestsPerSecond, burst, keys }) => [
    name,
    priority === null ? PRIORITY_OF_ROUTE : String(priority),
    requestsPerSecond === 0 ? NO_LIMIT : String(requestsPerSecond),
    requestsPerSecond === 0 ? '' : String(burst),
    String(keys),
  ]);
  return `Version ${version} of the routes\n${formatTable(header, rows)}`;
}

export class TenantsListCommand extends OperatorCommand {
  static override paths = [['tenants', 'list']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'List the tenants of the newest route document, or the one that holds a key',
    details: `
      A key is read from a file, never from the command line, which other users of the machine can
      see; only its digest is sent. See \`driftway status\` for the version in force at gateways.
    `,
    examples: [
      ['All of them', 'driftway tenants list'],
      ['Whose key it is', 'driftway tenants list --key-file found-key.txt'],
    ],
  });

  keyFile = Option.String('--key-file', { description: 'File that holds one API key alone' });

  protected override async run(client: OperatorClient): Promise<TenantList> {
    if (this.keyFile === undefined) return client.get<TenantList>(TARGET);
    const key = (await this.readFile(this.keyFile)).trim();
    return client.get<TenantList>(`${TARGET}?digest=${shortDigestOf(key)}`);
  }

  protected override format(answer: unknown): string {
    return formatTenants(answer as TenantList);
  }
}

export class TenantsExplainCommand extends OperatorCommand {
  static override paths = [['tenants', 'explain']];
  static override usage = Command.Usage({
    category: 'Cluster',
    description: 'Show a tenant with short digests of its keys',
    details: `
      A digest is the beginning of the SHA-256 of a key, in hexadecimal digits; in the order of the
      route document. Needs a token for the whole tree.
    `,
    examples: [['One tenant', 'driftway tenants explain orchard']],
  });

  tenant = Option.String({ name: 'TENANT' });

  protected override run(client: OperatorClient): Promise<TenantReport> {
    return client.get<TenantReport>(`${TARGET}/${encodeURIComponent(this.tenant)}`);
  }

  protected override format(answer: unknown): string {
    const { version, tenant, keyDigests } = answer as TenantReport;
    const rows = keyDigests.map((digest) => [digest]);
    return formatTenants({ version, tenants: [tenant] }) + formatTable(['KEY DIGEST'], rows);
  }
}
