/** Back ends that are slow, stall, shed, or reply wrongly, late or not at all, for a while. */
import type { BackendFaultInput, BackendFaultKind } from '../../backend/backend-fault.js';
import type { RandomSource } from '../../../src/seams/random-source.js';
import { chance, drawDuration, pick, type FaultPlan, type FaultTargets } from '../fault-plan.js';
import type { Fleet } from '../fleet.js';

const SHORTEST = 200;
const LONGEST = 15_000;
const LONGEST_DELAY = 2_000;
const MOST_SLOWNESS = 200;

const KINDS: readonly BackendFaultKind[] = [
  'slow',
  'slow',
  'stall',
  'truncate',
  'wrong_id',
  'late_reply',
  'foreign_reply',
  'malformed_body',
  'shed',
  'lose_reply',
];

function drawVictims(random: RandomSource, { backends }: FaultTargets): readonly string[] {
  const first = pick(random, backends);
  return chance(random, 0.3) ? [first, pick(random, backends)] : [first];
}

function switchFaults(fleet: Fleet, victims: readonly string[], fault?: BackendFaultInput): void {
  for (const replicaId of victims) {
    const backend = fleet.backends.get(replicaId)?.process.running?.backend;
    if (fault === undefined) backend?.clearFaults();
    else backend?.setFault(fault);
  }
}

/** Draws one; a back end that restarts meanwhile comes back without it. */
export function drawStraggler(random: RandomSource, targets: FaultTargets): FaultPlan {
  const victims = drawVictims(random, targets);
  const kind = pick(random, KINDS);
  const share = chance(random, 0.5) ? 1 : 0.2;
  const factor = random.nextInteger(2, MOST_SLOWNESS);
  const delayMs = random.nextInteger(0, LONGEST_DELAY);
  const duration = drawDuration(random, SHORTEST, LONGEST);
  return {
    text: `${victims.join(', ')}: ${kind} for ${share * 100}% of requests`,
    duration,
    begin: (fleet) => switchFaults(fleet, victims, { kind, share, factor, delayMs }),
    end: (fleet) => switchFaults(fleet, victims),
  };
}
