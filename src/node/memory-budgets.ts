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

/** Buffers that nobody holds any more, beside the responses that may be held. */
const GARBAGE_PER_RESPONSES = 1 / 2;

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

/** Bytes that all peers make the process hold. */
export function heldBytes(budgets: MemoryBudgets): number {
  return Object.values(budgets).reduce((sum, budget) => sum + budget.heldBytes, 0);
}

/** Bytes that buffers may take which nobody holds any more. */
export function garbageBound({ responses }: MemoryBudgets): number {
  return Math.floor(responses.limit * GARBAGE_PER_RESPONSES);
}
