/** One fault of a schedule, drawn before the run so that single ones can be left out of a replay. */
import type { RandomSource } from '../../src/seams/random-source.js';
import type { Fleet } from './fleet.js';
import type { FaultKind } from './fault-kinds.js';

/** What happens, and for how long. */
export interface FaultPlan {
  /** For the timeline. */
  readonly text: string;
  /** From its begin to its end; 0 for one that has no end of its own. Milliseconds. */
  readonly duration: number;
  begin(fleet: Fleet): void;
  end?(fleet: Fleet): void;
}

/** A plan with its place in the schedule. */
export interface ScheduledFault extends FaultPlan {
  /** Position in the whole schedule, from 1; the same in a replay that leaves others out. */
  readonly number: number;
  readonly kind: FaultKind;
  /** Virtual milliseconds since the start. */
  readonly at: number;
}

/** Names that faults may strike. */
export interface FaultTargets {
  readonly controllers: readonly string[];
  readonly routers: readonly string[];
  readonly backends: readonly string[];
  readonly zones: readonly string[];
  readonly services: readonly string[];
  readonly shardedServices: readonly string[];
}

/** Draws one fault of a kind. */
export type DrawFault = (random: RandomSource, targets: FaultTargets) => FaultPlan;

/** One of `items`, all equally likely. */
export function pick<T>(random: RandomSource, items: readonly T[]): T {
  const item = items[random.nextInteger(0, items.length - 1)];
  if (item === undefined) throw new RangeError('nothing to pick from');
  return item;
}

/** True with the given chance, 0 to 1. */
export function chance(random: RandomSource, probability: number): boolean {
  return random.nextFloat() < probability;
}

/** A whole number of milliseconds; short ones are as likely as long ones of ten times the length. */
export function drawDuration(random: RandomSource, shortest: number, longest: number): number {
  const exponent = Math.log(longest / shortest) * random.nextFloat();
  return Math.round(shortest * Math.exp(exponent));
}
