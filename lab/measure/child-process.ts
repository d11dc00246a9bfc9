/** A child process that serves operations, as its parent sees it. */
import { fork, type ChildProcess as NodeChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { ChildCall, ChildOperations, ChildResult } from './child-operations.js';

/** Longest time a child may take to end after it was told to. Milliseconds. */
const STOP_TIMEOUT = 5_000;

interface PendingCall {
  resolve(output: unknown): void;
  reject(error: Error): void;
}

/** How to start a child. */
export interface ChildOptions {
  /** Module beside this one or elsewhere in the build; serves the operations. */
  readonly module: URL;
  readonly nodeFlags?: readonly string[];
}

/** One child. End it with {@link MeasuredChild.stop}; it also ends when its parent does. */
export class MeasuredChild<Operations extends ChildOperations> {
  private readonly child: NodeChildProcess;
  private readonly pending = new Map<number, PendingCall>();
  private lastId = 0;
  private readonly exited: Promise<void>;

  constructor(private readonly options: ChildOptions) {
    this.child = fork(fileURLToPath(options.module), [], {
      execArgv: ['--expose-gc', ...(options.nodeFlags ?? [])],
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    this.child.on('message', (result: ChildResult) => this.settle(result));
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.failAll(`child ended (${code ?? signal ?? 'unknown'})`);
        resolve();
      });
    });
  }

  /** Runs one operation in the child and returns its output. */
  call<Name extends keyof Operations & string>(
    operation: Name,
    input: Parameters<Operations[Name]>[0],
  ): Promise<Awaited<ReturnType<Operations[Name]>>> {
    this.lastId += 1;
    const call: ChildCall = { id: this.lastId, operation, input };
    return new Promise((resolve, reject) => {
      this.pending.set(call.id, {
        resolve: (output) => resolve(output as Awaited<ReturnType<Operations[Name]>>),
        reject,
      });
      this.child.send(call, (error) => {
        if (error !== null) this.settle({ id: call.id, error: error.message });
      });
    });
  }

  /** Ends the child: politely first, by a kill of this one process when that does not help. */
  async stop(): Promise<void> {
    if (this.child.connected) this.child.disconnect();
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT);
    await this.exited;
    clearTimeout(timer);
  }

  private settle({ id, output, error }: ChildResult): void {
    const call = this.pending.get(id);
    this.pending.delete(id);
    if (error === undefined) call?.resolve(output);
    else call?.reject(new Error(`${this.options.module.pathname}: ${error}`));
  }

  private failAll(reason: string): void {
    for (const id of [...this.pending.keys()]) this.settle({ id, error: reason });
  }
}
