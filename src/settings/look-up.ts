/** Reading records whose keys are names that operators chose, `constructor` included. */

/** The entry that `record` itself has under `name`; never one of its prototype. */
export function lookUp<T>(record: Readonly<Record<string, T>>, name: string): T | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined;
}
