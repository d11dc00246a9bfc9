import { readFile } from 'node:fs/promises';
import { describe, expect, it } from 'vitest';
import { parse } from 'yaml';
import type { z } from 'zod';
import { METRIC_ALARMS } from '../../lab/documentation/metric-alarms.js';
import { OPERATOR_COMMANDS } from '../../src/commands/operator-commands.js';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { gatewayConfigurationSchema } from '../../src/configuration/gateway-configuration.js';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';
import { SOFTWARE_VERSION } from '../../src/software-version.js';
import { changeFileSchema } from '../../src/operator/change-file.js';

const PAGES = ['gateway', 'install', 'runbooks', 'settings', 'tokens', 'upgrade'];

const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  controller: controllerConfigurationSchema,
  router: routerConfigurationSchema,
  gateway: gatewayConfigurationSchema,
  change: changeFileSchema,
};

function readPage(name: string): Promise<string> {
  return readFile(`docs/operators/${name}.md`, 'utf8');
}

/** Files shown in a page; the first line says what each is. */
function filesIn(page: string): [string, string][] {
  return [...page.matchAll(/```yaml\n# (\w+)\n(.*?)```/gs)].map(([, kind = '', text = '']) => [
    kind,
    text,
  ]);
}

describe('the version', () => {
  it('is that of the package', async () => {
    const text = await readFile('package.json', 'utf8');
    expect(SOFTWARE_VERSION).toBe((JSON.parse(text) as { version: string }).version);
  });
});

describe("operators' pages", () => {
  it.each(['install', 'settings', 'gateway'])(
    '%s shows only files that are accepted',
    async (name) => {
      const page = await readPage(name);
      const files = filesIn(page);
      expect(files.length).toBe([...page.matchAll(/```yaml/g)].length);
      expect(files.length).toBeGreaterThan(0);
      for (const [kind, text] of files) {
        const result = SCHEMAS[kind]?.safeParse(parse(text));
        expect(result?.error?.message, kind).toBeUndefined();
        expect(result?.success, kind).toBe(true);
      }
    },
  );

  it('have a runbook for every alarm', async () => {
    const headings = (await readPage('runbooks')).match(/^### .*$/gm) ?? [];
    for (const { runbook } of METRIC_ALARMS) expect(headings).toContain(`### ${runbook}`);
  });

  it.each(PAGES)('%s names only commands that there are', async (name) => {
    const paths = OPERATOR_COMMANDS.flatMap(({ paths: known = [] }) => known);
    const known = [
      ...paths.map((path) => path.join(' ')),
      'controller',
      'router',
      'gateway',
      '--help',
    ];
    const lines = (await readPage(name)).matchAll(
      /(?:^\$|^npx|`npx|`) ?driftway ([a-z-]+(?: [a-z-]+)?)/gm,
    );
    const unknown = [...lines]
      .map(([, words = '']) => words)
      .filter((words) => !known.includes(words) && !known.includes(words.split(' ')[0] ?? ''));
    expect(unknown.filter((words) => words !== 'members')).toEqual([]);
  });
});
