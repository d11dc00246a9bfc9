/** A state machine whose state is the list of commands, so that nothing can hide. */
import type { StateMachine } from '../../../src/consensus/replicated-log.js';

/** Told of every command that is applied. */
export type ApplyListener = (index: number, command: string) => void;

export class HistoryMachine implements StateMachine {
  commands: string[] = [];

  constructor(private readonly onApply: ApplyListener) {}

  apply(command: Uint8Array, index: number): Uint8Array {
    const text = Buffer.from(command).toString('utf8');
    this.commands.push(text);
    this.onApply(index, text);
    return Buffer.from(`${this.commands.length}:${text}`);
  }

  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands));
  }

  restore(snapshot: Uint8Array): void {
    this.commands = JSON.parse(Buffer.from(snapshot).toString('utf8')) as string[];
  }
}
