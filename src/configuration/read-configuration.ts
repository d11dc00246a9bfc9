/** Reads a daemon's YAML file, lays flags over it and validates the whole. */
import type { z } from 'zod';
import {
  describeIssues,
  schemaAt,
  schemaLayers,
  type InputProblem,
} from '../errors/input-problem.js';
import {
  ConfigurationError,
  WHOLE_FILE,
  type ConfigurationProblem,
} from './configuration-error.js';
import { parseYaml } from './parse-yaml.js';

/** A flag's value and the dotted path it replaces. */
export interface ConfigurationOverride {
  readonly path: string;
  readonly value: unknown;
}

function isMapping(content: unknown): content is Record<string, unknown> {
  return typeof content === 'object' && content !== null && !Array.isArray(content);
}

/** Sets a value inside `root`; where a parent is not a mapping, validation names that parent. */
function setPath(root: Record<string, unknown>, path: string, value: unknown): void {
  const keys = path.split('.');
  const last = keys.pop();
  let node = root;
  for (const key of keys) {
    const next = (node[key] ??= {});
    if (!isMapping(next)) return;
    node = next;
  }
  if (last !== undefined) node[last] = value;
}

/**
 * A value that would do: the description that a settings file's schema gives
 * for the key, or else its default.
 */
function exampleAt(schema: z.ZodType, path: string): string | undefined {
  const node = path === '' ? undefined : schemaAt(schema, path.split('.'));
  if (node === undefined) return undefined;
  const layers = schemaLayers(node) as readonly z.ZodType[];
  const described = layers.find(({ description }) => description !== undefined);
  if (described !== undefined) return described.description;
  const { defaultValue } = layers[0]?.def as { defaultValue?: unknown };
  return defaultValue === undefined ? undefined : JSON.stringify(defaultValue);
}

function withExample(schema: z.ZodType, { path, reason }: InputProblem): ConfigurationProblem {
  const example = exampleAt(schema, path);
  const problem = { path: path === '' ? WHOLE_FILE : path, reason };
  return example === undefined ? problem : { ...problem, example };
}

/**
 * Validates the text of a settings file.
 *
 * @throws ConfigurationError naming every wrong key or value.
 */
export function readConfiguration<S extends z.ZodType>(
  schema: S,
  file: string,
  text: string,
  overrides: readonly ConfigurationOverride[] = [],
): z.infer<S> {
  const parsed = parseYaml(text);
  if ('reason' in parsed) {
    throw new ConfigurationError(file, [{ path: WHOLE_FILE, reason: parsed.reason }]);
  }
  const { content } = parsed;
  if (!isMapping(content)) {
    const reason = 'write keys and values, such as "name: router-1"';
    throw new ConfigurationError(file, [{ path: WHOLE_FILE, reason }]);
  }
  for (const { path, value } of overrides) setPath(content, path, value);
  const result = schema.safeParse(content);
  if (result.success) return result.data;
  throw new ConfigurationError(
    file,
    describeIssues(schema, content, result.error.issues).map((problem) =>
      withExample(schema, problem),
    ),
  );
}
