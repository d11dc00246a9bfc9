/**
 * Divides the memory of a process among what its peers can make it hold. A bound on one response, request
 * or message bounds no process: its peers decide how many there are at a time.
 */
import { ByteBudget } from './byte-budget.js';

/** Part of the process's memory that each kind of held bytes may take. */
const FRACTION = 1 / 8;

/** What peers can make a process hold. */
export type HeldKind = 'responses' | 'requests' | 'messages';

/** One budget for each kind, shared by all connections of the process. */
export type MemoryBudgets = Readonly<Record<HeldKind, ByteBudget>>;

/** `limitBytes` is the memory that the process may use. */
export function divideMemory(limitBytes: number): MemoryBudgets {
  const create = (): ByteBudget => new ByteBudget(Math.floor(limitBytes * FRACTION));
  return { responses: create(), requests: create(), messages: create() };
}
