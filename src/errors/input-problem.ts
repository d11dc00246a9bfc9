/** Says what a schema found wrong in something that a person wrote, key by key. */
import type { z } from 'zod';

/** One wrong key or value. */
export interface InputProblem {
  /** Dotted, such as `listen.http`; empty for the whole. */
  readonly path: string;
  readonly reason: string;
}

type Path = readonly PropertyKey[];

/** The parts of a schema that lead to its children; wrappers such as defaults have `unwrap`. */
interface SchemaNode {
  readonly shape?: Readonly<Record<PropertyKey, unknown>>;
  readonly element?: unknown;
  readonly unwrap?: () => unknown;
}

/** The schema without optional, default and the like, outermost first and innermost last. */
export function schemaLayers(schema: unknown): readonly unknown[] {
  const layers = [schema];
  let node = schema as SchemaNode;
  while (node.shape === undefined && node.element === undefined && node.unwrap !== undefined) {
    node = node.unwrap() as SchemaNode;
    layers.push(node);
  }
  return layers;
}

/** The schema of what is at `path`, or undefined where that depends on the value. */
export function schemaAt(schema: unknown, path: Path): unknown {
  let node: unknown = schema;
  for (const key of path) {
    const inner = schemaLayers(node).at(-1) as SchemaNode;
    node = inner.shape?.[key] ?? inner.element;
    if (node === undefined) return undefined;
  }
  return node;
}

function valueAt(content: unknown, path: Path): unknown {
  let node = content;
  for (const key of path) {
    if (typeof node !== 'object' || node === null) return undefined;
    node = (node as Record<PropertyKey, unknown>)[key];
  }
  return node;
}

function formatPath(path: Path): string {
  return path.map(String).join('.');
}

function unknownKeyReason(schema: z.ZodType, path: Path): string {
  const node = schemaAt(schema, path);
  const shape = node === undefined ? undefined : (schemaLayers(node).at(-1) as SchemaNode).shape;
  const known = Object.keys(shape ?? {});
  if (known.length === 0) return 'there is no such key';
  return `there is no such key; there are ${known.join(', ')}`;
}

function describeIssue(
  schema: z.ZodType,
  content: unknown,
  issue: z.core.$ZodIssue,
): InputProblem[] {
  const { path } = issue;
  if (issue.code === 'unrecognized_keys') {
    const reason = unknownKeyReason(schema, path);
    return issue.keys.map((key) => ({ path: formatPath([...path, key]), reason }));
  }
  const isMissing = path.length > 0 && valueAt(content, path) === undefined;
  const reason = isMissing ? 'this key is missing' : issue.message;
  return [{ path: formatPath(path), reason }];
}

/** Every problem that `schema` found in `content`, each under the path of the wrong key itself. */
export function describeIssues(
  schema: z.ZodType,
  content: unknown,
  issues: readonly z.core.$ZodIssue[],
): InputProblem[] {
  return issues.flatMap((issue) => describeIssue(schema, content, issue));
}
