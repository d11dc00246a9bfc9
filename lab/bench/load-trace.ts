/** Reads a trace file. */
import { readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { parse } from 'yaml';
import * as z from 'zod';
import { ConfigurationError } from '../../src/configuration/configuration-error.js';
import { readConfiguration } from '../../src/configuration/read-configuration.js';
import { traceSchema, type Trace } from './trace.js';

/** A trace may name another one, whose keys hold where it has none of its own. */
const extendingSchema = z.looseObject({ extends: z.string().optional() });

async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ConfigurationError(path, [{ path: '(whole file)', reason }]);
  }
}

/** Keys of the file laid over those of the file it extends. */
async function readKeys(path: string): Promise<Record<string, unknown>> {
  const content: unknown = parse(await readText(path));
  const { extends: base, ...keys } = extendingSchema.parse(content);
  if (base === undefined) return keys;
  return { ...(await readKeys(join(dirname(path), base))), ...keys };
}

/**
 * Reads and checks the trace at `path`.
 *
 * @throws ConfigurationError naming every wrong key or value.
 */
export async function loadTrace(path: string): Promise<Trace> {
  const keys = await readKeys(path);
  return readConfiguration(traceSchema, path, JSON.stringify(keys));
}
