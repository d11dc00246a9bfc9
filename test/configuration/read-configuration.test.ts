import { describe, expect, it } from 'vitest';
import type { z } from 'zod';
import { ConfigurationError } from '../../src/configuration/configuration-error.js';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import {
  readConfiguration,
  type ConfigurationOverride,
} from '../../src/configuration/read-configuration.js';
import { MINIMUM_CAPACITY_BYTES } from '../../src/consensus/log-limits.js';
import { gatewayConfigurationSchema } from '../../src/configuration/gateway-configuration.js';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';
import { schemaLayers } from '../../src/errors/input-problem.js';

const VALID = `
name: router-1
region: dohoku
zone: asahikawa-a
cluster: { id: dohoku, key: a-long-random-secret }
listen: { http: '127.0.0.1:0' }
controllers:
  - { memberId: controller-1, address: '127.0.0.1:7500', zone: asahikawa-a }
`;

function errorOf(
  text: string,
  schema: z.ZodType = routerConfigurationSchema,
  flags: readonly ConfigurationOverride[] = [],
): ConfigurationError {
  try {
    readConfiguration(schema, 'router.yaml', text, flags);
  } catch (error) {
    if (error instanceof ConfigurationError) return error;
    throw error;
  }
  return expect.fail('the file was accepted');
}

function problemsOf(text: string, flags: readonly ConfigurationOverride[] = []): string[] {
  return errorOf(text, routerConfigurationSchema, flags).problems.map(({ path }) => path);
}

interface Children {
  readonly shape?: Record<string, unknown>;
  readonly element?: unknown;
}

/** The dotted paths of all keys, list elements by their first index. */
function pathsOf(schema: unknown, prefix = ''): string[] {
  const { shape, element } = schemaLayers(schema).at(-1) as Children;
  const children = shape ?? (element === undefined ? {} : { 0: element });
  return Object.entries(children).flatMap(([key, child]) => [
    ...(shape === undefined ? [] : [`${prefix}${key}`]),
    ...pathsOf(child, `${prefix}${key}.`),
  ]);
}

/** A value that no key takes. */
const WRONG = 7.5;

/** A document with a wrong value at `path` alone. */
function wrongAt(path: string): string {
  const keys = path.split('.');
  const wrap = (value: unknown, key: string): unknown => (key === '0' ? [value] : { [key]: value });
  return JSON.stringify(keys.reduceRight(wrap, WRONG));
}

describe('readConfiguration', () => {
  it('reads a valid file and fills in defaults', () => {
    const configuration = readConfiguration(routerConfigurationSchema, 'router.yaml', VALID);
    expect(configuration.listen.http).toEqual({ host: '127.0.0.1', port: 0 });
    expect(configuration.limits.maximumBodyBytes).toBe(1_048_576);
  });

  it('lays flags over the file', () => {
    const configuration = readConfiguration(routerConfigurationSchema, 'router.yaml', VALID, [
      { path: 'listen.http', value: '127.0.0.1:7400' },
    ]);
    expect(configuration.listen.http.port).toBe(7400);
  });

  it('names every wrong key and value with its path', () => {
    const text = VALID.replace('name: router-1', 'name: Router_1\nnmae: x')
      .replace(':7500', ':x')
      .replace('id: dohoku', 'idd: dohoku');
    const paths = ['name', 'nmae', 'controllers.0.address', 'cluster.id', 'cluster.idd'];
    expect(problemsOf(text).sort()).toEqual(paths.sort());
    const { message } = errorOf(text);
    expect(message).toMatch(/nmae: there is no such key; there are name, region/);
    expect(message).toMatch(/cluster\.id: this key is missing \(example: dohoku\)/);
  });

  it.each([
    ['router', routerConfigurationSchema],
    ['controller', controllerConfigurationSchema],
    ['gateway', gatewayConfigurationSchema],
  ])('says what a good value looks like, for every key of a %s', (_daemon, schema) => {
    const paths = pathsOf(schema);
    expect(paths.length).toBeGreaterThan(10);
    for (const path of paths) {
      const problem = errorOf(wrongAt(path), schema).problems.find((known) => known.path === path);
      expect(problem?.example, path).toMatch(/./);
    }
  });

  it('prints path, reason and example', () => {
    const text = VALID.replace("http: '127.0.0.1:0'", 'http: nowhere');
    expect(errorOf(text).message).toMatch(/listen\.http: .*example: 127\.0\.0\.1:7400/);
  });

  // Guards against a disk that the smallest log and two snapshots would fill.
  it('refuses a controller whose disk is too small, and says what it takes at least', () => {
    const text = 'storage: { capacityBytes: 1000000 }';
    const { problems } = errorOf(text, controllerConfigurationSchema);
    const problem = problems.find(({ path }) => path === 'storage.capacityBytes');
    expect(problem?.reason).toContain(String(MINIMUM_CAPACITY_BYTES));
  });

  it('reports a YAML syntax error', () => {
    expect(problemsOf('name: [')).toEqual(['(whole file)']);
  });

  it.each(['hello', '[1, 2]', '7'])('reports that %s is not a map, also with flags', (text) => {
    expect(problemsOf(text, [{ path: 'name', value: 'router-2' }])).toEqual(['(whole file)']);
  });

  it('names a parent that is not a map when a flag would go inside it', () => {
    const text = VALID.replace("listen: { http: '127.0.0.1:0' }", 'listen: 3');
    const flags = [{ path: 'listen.http', value: '127.0.0.1:7400' }];
    expect(problemsOf(text, flags)).toEqual(['listen']);
  });

  it('reports aliases that would blow the content up', () => {
    const level = (name: string, inner: string): string =>
      `${name}: &${name} [${Array.from({ length: 20 }, () => inner).join(', ')}]`;
    const bomb = [level('a', '1'), level('b', '*a'), level('c', '*b'), level('d', '*c')];
    expect(problemsOf(bomb.join('\n'))).toEqual(['(whole file)']);
  });
});
