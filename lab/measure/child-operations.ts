/**
 * Typed calls from a measuring process to its children over Node's own channel
 * between parent and child. A child serves a table of named operations.
 */

/** What a child can be asked for; each takes one value and returns one or a promise of it. */
export type ChildOperations = Readonly<Record<string, (input: never) => unknown>>;

/** One call, from parent to child. */
export interface ChildCall {
  readonly id: number;
  readonly operation: string;
  readonly input: unknown;
}

/** The end of a call, from child to parent. */
export interface ChildResult {
  readonly id: number;
  readonly output?: unknown;
  /** Set when the operation failed. */
  readonly error?: string;
}

async function runCall(operations: ChildOperations, call: ChildCall): Promise<ChildResult> {
  try {
    const operation = operations[call.operation];
    if (operation === undefined) throw new Error(`no operation "${call.operation}"`);
    return { id: call.id, output: await operation(call.input as never) };
  } catch (error) {
    return { id: call.id, error: error instanceof Error ? (error.stack ?? '') : String(error) };
  }
}

/** Serves calls until the parent is gone, then ends the process. */
export function serveOperations(operations: ChildOperations): void {
  process.on('message', (call: ChildCall) => {
    void runCall(operations, call).then((result) => process.send?.(result));
  });
  process.on('disconnect', () => process.exit(0));
}
