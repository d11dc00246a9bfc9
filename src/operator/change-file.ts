/** Files that operators write: changes, services and shards, as YAML or JSON. */
import * as z from 'zod';
import { WHOLE_FILE } from '../configuration/configuration-error.js';
import { parseYaml } from '../configuration/parse-yaml.js';
import { describeIssues, type InputProblem } from '../errors/input-problem.js';
import { shardSchema } from '../model/service-definition.js';
import {
  authorSchema,
  operationSchema,
  reasonSchema,
  MAXIMUM_OPERATIONS,
} from '../settings/change.js';
import { OperatorError } from './operator-error.js';

/** What `driftway settings apply -f` reads. Flags fill in what is absent. */
export const changeFileSchema = z.strictObject({
  baseRevision: z.int().min(0).optional(),
  author: authorSchema.optional(),
  reason: reasonSchema.optional(),
  operations: z.array(operationSchema).min(1).max(MAXIMUM_OPERATIONS),
});

/** What `driftway services repartition -f` reads. */
export const shardsFileSchema = z.strictObject({ shards: z.array(shardSchema).min(1) });

function badFile(file: string, problems: readonly InputProblem[]): OperatorError {
  const text = problems.map(({ path, reason }) => `  ${path || WHOLE_FILE}: ${reason}`).join('\n');
  const message = `${file} is not valid\n${text}`;
  const step = 'read file';
  return new OperatorError(
    { code: 'bad_request', message, step, changed: 'no', problems: [...problems] },
    undefined,
  );
}

/** @throws OperatorError naming every wrong key and value. */
export function parseFile<S extends z.ZodType>(schema: S, file: string, text: string): z.infer<S> {
  const yaml = parseYaml(text);
  if ('reason' in yaml) throw badFile(file, [{ path: '', reason: yaml.reason }]);
  const { content } = yaml;
  const parsed = schema.safeParse(content);
  if (parsed.success) return parsed.data;
  const problems = describeIssues(schema, content, parsed.error.issues);
  throw badFile(file, problems);
}
