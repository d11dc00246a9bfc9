/**
 * Divides the memory of a process among what its peers can make it hold. A bound on one response, request
 * or message bounds no process: its peers decide how many there are at a time.
 */
import { ByteBudget } from './byte-budget.js';

/** Part of the process's memory that each kind of held bytes may take. */
const FRACTIONS = {
  responses: 1 / 8,
  /** Bodies, and answers that callers have not taken. */
  requests: 1 / 8,
  messages: 1 / 8,
  /** What callers have sent before a request of theirs is served. */
  unserved: 1 / 16,
} as const;

/** What peers can make a process hold. */
export type HeldKind = keyof typeof FRACTIONS;

/** One budget for each kind, shared by all connections of the process. */
export type MemoryBudgets = Readonly<Record<HeldKind, ByteBudget>>;

/** `limitBytes` is the memory that the process may use. */
export function divideMemory(limitBytes: number): MemoryBudgets {
  const create = (kind: HeldKind): ByteBudget =>
    new ByteBudget(Math.floor(limitBytes * FRACTIONS[kind]));
  return {
    responses: create('responses'),
    requests: create('requests'),
    messages: create('messages'),
    unserved: create('unserved'),
  };
}
