/** One run of a process on a machine, from its start to its end. */
import type { SimulatedSocket } from './simulated-socket.js';

/** Shared by everything that acts for the process; nothing acts once `alive` is false. */
export class ProcessLife {
  alive = true;
  /** Nothing of the process runs before this time. Microseconds. */
  frozenUntil = 0;
  /** Open connections, in the order they were opened. */
  readonly sockets = new Set<SimulatedSocket>();

  constructor(
    /** Of the machine; from 1, in order of creation. */
    readonly machineIndex: number,
  ) {}
}

/** What a call into a dead process gives: it never settles. */
export function never<T>(): Promise<T> {
  return new Promise<T>(() => undefined);
}
