import { describe, expect, it } from 'vitest';
import { ConfigurationError } from '../../src/configuration/configuration-error.js';
import {
  readConfiguration,
  type ConfigurationOverride,
} from '../../src/configuration/read-configuration.js';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';

const VALID = `
name: router-1
region: dohoku
zone: asahikawa-a
cluster: { id: dohoku, key: a-long-random-secret }
listen: { http: '127.0.0.1:0' }
controllers:
  - { memberId: controller-1, address: '127.0.0.1:7500', zone: asahikawa-a }
`;

function problemsOf(text: string, flags: readonly ConfigurationOverride[] = []): string[] {
  try {
    readConfiguration(routerConfigurationSchema, 'router.yaml', text, flags);
    return [];
  } catch (error) {
    if (error instanceof ConfigurationError) return error.problems.map(({ path }) => path);
    throw error;
  }
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
    const text = VALID.replace('name: router-1', 'name: Router_1\nnmae: x').replace(':7500', ':x');
    expect(problemsOf(text)).toEqual(
      expect.arrayContaining(['name', 'controllers.0.address', '(whole file)']),
    );
  });

  it('says what a good value looks like', () => {
    const text = VALID.replace("http: '127.0.0.1:0'", 'http: nowhere');
    expect(() => readConfiguration(routerConfigurationSchema, 'router.yaml', text)).toThrow(
      /listen\.http: .*example: 127\.0\.0\.1:7400/,
    );
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
