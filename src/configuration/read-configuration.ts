/** Reads a daemon's YAML file, lays flags over it and validates the whole. */
import { parseDocument } from 'yaml';
import type { z } from 'zod';
import { ConfigurationError, type ConfigurationProblem } from './configuration-error.js';

/** A flag's value and the dotted path it replaces. */
export interface ConfigurationOverride {
  readonly path: string;
  readonly value: unknown;
}

function setPath(root: Record<string, unknown>, path: string, value: unknown): void {
  const keys = path.split('.');
  const last = keys.pop();
  let node = root;
  for (const key of keys) {
    node[key] ??= {};
    node = node[key] as Record<string, unknown>;
  }
  if (last !== undefined) node[last] = value;
}

/** The example that the schema's description gives for a path, if it has one. */
function exampleAt(schema: z.ZodType, path: readonly PropertyKey[]): string | undefined {
  let node: unknown = schema;
  for (const key of path) {
    const shape = (node as { shape?: Record<PropertyKey, unknown> }).shape;
    node = shape?.[key] ?? (node as { element?: unknown }).element;
    if (node === undefined) return undefined;
  }
  return (node as { description?: string }).description;
}

function toProblem(schema: z.ZodType, issue: z.core.$ZodIssue): ConfigurationProblem {
  const example = exampleAt(schema, issue.path);
  const path = issue.path.length === 0 ? '(whole file)' : issue.path.map(String).join('.');
  const problem = { path, reason: issue.message };
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
  const document = parseDocument(text);
  const [syntaxError] = document.errors;
  if (syntaxError !== undefined) {
    throw new ConfigurationError(file, [{ path: '(whole file)', reason: syntaxError.message }]);
  }
  const content = (document.toJS() ?? {}) as Record<string, unknown>;
  for (const { path, value } of overrides) setPath(content, path, value);
  const result = schema.safeParse(content);
  if (result.success) return result.data;
  throw new ConfigurationError(
    file,
    result.error.issues.map((issue) => toProblem(schema, issue)),
  );
}
