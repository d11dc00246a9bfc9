import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { writeFile } from 'node:fs/promises';
import { shortDigestOf } from '../../src/tenants/key-digest.js';
import { OperatorExitCode } from '../../src/operator/operator-error.js';
import { OperatorFixture } from './operator-fixture.js';

const SECRETS = ['secret-1', 'secret-2'];
const DOCUMENT = {
  version: 12,
  routes: [],
  services: [],
  tenants: [
    { name: 'orchard & co', keys: SECRETS, priority: 1, requestsPerSecond: 30, burst: 60 },
    { name: 'mill', keys: ['secret-3'] },
  ],
};

let fixture: OperatorFixture;

beforeEach(async () => {
  fixture = await OperatorFixture.start();
});

afterEach(() => fixture.stop());

describe('driftway tenants', () => {
  it('lists none before there is a route document, or where it names none', async () => {
    expect((await fixture.run('tenants', 'list')).stdout).toBe('There is no route document yet.\n');
    await fixture.putRoutes({ version: 1, routes: [], services: [] });
    const { stdout } = await fixture.run('tenants', 'list');
    expect(stdout).toBe('No such tenant in version 1 of the routes.\n');
  });

  it('lists tenants with version, rank, limit and number of keys', async () => {
    await fixture.putRoutes(DOCUMENT);
    const { stdout } = await fixture.run('tenants', 'list');
    expect(stdout).toContain('Version 12 of the routes');
    expect(stdout).toMatch(/orchard & co +1 +30 +60 +2\n/);
    expect(stdout).toMatch(/mill +of the route +none +1\n/);
    expect(stdout).not.toContain('secret');
  });

  it('explains one tenant with digests of its keys in their order, and shows no key', async () => {
    await fixture.putRoutes(DOCUMENT);
    const { stdout } = await fixture.run('tenants', 'explain', 'orchard & co');
    expect(stdout).toContain(SECRETS.map(shortDigestOf).join('\n'));
    const json = await fixture.run('tenants', 'explain', 'orchard & co', '--json');
    expect(JSON.parse(json.stdout)).toMatchObject({ keyDigests: SECRETS.map(shortDigestOf) });
    expect(stdout + json.stdout).not.toContain('secret');
  });

  it('explains no tenant that there is not', async () => {
    await fixture.putRoutes(DOCUMENT);
    const unknown = await fixture.run('tenants', 'explain', 'nobody');
    expect(unknown.code).not.toBe(OperatorExitCode.Success);
    expect(unknown.stderr).toContain('there is no tenant nobody');
  });

  it('explains none to the token of a team, which may list them', async () => {
    await fixture.putRoutes(DOCUMENT);
    await fixture.createDohoku();
    const create = ['tokens', 'create', 'audit', '--team', 'audit', '--scope', 'zone/nayoro'];
    const token = (await fixture.run(...create)).stdout.split('\n')[0];
    expect((await fixture.runAs(token, 'tenants', 'list')).code).toBe(OperatorExitCode.Success);
    const refused = await fixture.runAs(token, 'tenants', 'explain', 'mill');
    expect(refused.code).toBe(OperatorExitCode.Refused);
    expect(refused.stdout + refused.stderr).not.toContain(shortDigestOf('secret-3'));
  });

  it('finds the tenant that holds a key, of which it sends the digest alone', async () => {
    await fixture.putRoutes(DOCUMENT);
    const file = await fixture.writeFile('');
    const find = async (key: string): Promise<string> => {
      await writeFile(file, `${key}\n`);
      return (await fixture.run('tenants', 'list', '--key-file', file)).stdout;
    };
    expect(await find('secret-3')).toContain('mill');
    expect(await find('secret-3')).not.toContain('orchard');
    expect(await find('stranger')).toBe('No such tenant in version 12 of the routes.\n');
  });
});
