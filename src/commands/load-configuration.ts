/** Reads a daemon's settings file from disk. */
import type { z } from 'zod';
import { ConfigurationError, WHOLE_FILE } from '../configuration/configuration-error.js';
import {
  readConfiguration,
  type ConfigurationOverride,
} from '../configuration/read-configuration.js';
import { readTextFile } from '../node/read-text-file.js';

/** A flag as parsed: undefined when it was not given. */
export interface FlagValue {
  /** Path in the settings file that the flag replaces. */
  readonly path: string;
  readonly value: string | undefined;
}

/**
 * Reads and validates the file, with the flags that were given laid over it.
 *
 * @throws ConfigurationError when the file is missing or anything in it is wrong.
 */
export async function loadConfiguration<S extends z.ZodType>(
  schema: S,
  file: string,
  flags: readonly FlagValue[],
): Promise<z.infer<S>> {
  const overrides = flags.filter(
    (flag): flag is ConfigurationOverride & FlagValue => flag.value !== undefined,
  );
  let text: string;
  try {
    text = await readTextFile(file);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ConfigurationError(file, [{ path: WHOLE_FILE, reason }]);
  }
  return readConfiguration(schema, file, text, overrides);
}
