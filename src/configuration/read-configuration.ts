/** Reads a daemon's YAML file, lays flags over it and validates the whole. */
import { parseDocument } from 'yaml';
import type { z } from 'zod';
import { ConfigurationError, type ConfigurationProblem } from './configuration-error.js';

/** A flag's value and the dotted path it replaces. */
export interface ConfigurationOverride {
  readonly path: string;
  readonly value: unknown;
}

function isMap(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Sets a value inside `root`; where a parent is not a map, validation names that parent. */
function setPath(root: Record<string, unknown>, path: string, value: unknown): void {
  const keys = path.split('.');
  const last = keys.pop();
  let node = root;
  for (const key of keys) {
    node[key] ??= {};
    const child = node[key];
    if (!isMap(child)) return;
    node = child;
  }
  if (last !== undefined) node[last] = value;
}

/** The file's content; an empty file is an empty map. */
function parseContent(file: string, text: string): unknown {
  const document = parseDocument(text);
  const [syntaxError] = document.errors;
  if (syntaxError !== undefined) {
    throw new ConfigurationError(file, [{ path: '(whole file)', reason: syntaxError.message }]);
  }
  try {
    return document.toJS() ?? {};
  } catch (error) {
    // The library resolves aliases here, and refuses those that would blow the content up.
    const reason = error instanceof Error ? error.message : String(error);
    throw new ConfigurationError(file, [{ path: '(whole file)', reason }]);
  }
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
  const content = parseContent(file, text);
  if (isMap(content)) {
    for (const { path, value } of overrides) setPath(content, path, value);
  }
  const result = schema.safeParse(content);
  if (result.success) return result.data;
  throw new ConfigurationError(
    file,
    result.error.issues.map((issue) => toProblem(schema, issue)),
  );
}
