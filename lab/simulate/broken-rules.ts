/** Builds of the daemons that break one rule each; nothing but the simulator makes one. */
import type { RaftFaults } from '../../src/consensus/raft-faults.js';
import type { ControlStreamFaults } from '../../src/control-stream/control-stream-faults.js';
import { NO_ROUTER_FAULTS, type RouterFaults } from '../../src/router/router-faults.js';

/** The switches of all daemons of one fleet. */
export interface BrokenSwitches {
  readonly router: RouterFaults;
  readonly controlStream: ControlStreamFaults;
  readonly raft: RaftFaults;
}

const SOUND: BrokenSwitches = { router: NO_ROUTER_FAULTS, controlStream: {}, raft: {} };

function router(rule: keyof RouterFaults): BrokenSwitches {
  return { ...SOUND, router: { ...NO_ROUTER_FAULTS, [rule]: true } };
}

function controlStream(rule: keyof ControlStreamFaults): BrokenSwitches {
  return { ...SOUND, controlStream: { [rule]: true } };
}

function raft(rule: keyof RaftFaults): BrokenSwitches {
  return { ...SOUND, raft: { [rule]: true } };
}

const SWITCHES = {
  mergeAcrossSnapshots: router('mergeAcrossSnapshots'),
  claimUnreachedShard: router('claimUnreachedShard'),
  skipReplyMatching: router('skipReplyMatching'),
  claimNotRunAfterSending: router('claimNotRunAfterSending'),
  retryNotRepeatable: router('retryNotRepeatable'),
  ignoreDrain: router('ignoreDrain'),
  cutInFlightAtStop: router('cutInFlightAtStop'),
  applyLowerRevision: controlStream('applyLowerRevision'),
  neverLeave: controlStream('neverLeave'),
  skipFreshnessProof: controlStream('skipFreshnessProof'),
  ignoreApplyLag: controlStream('ignoreApplyLag'),
  acceptOlderSigns: controlStream('acceptOlderSigns'),
  acknowledgeBeforeSync: raft('acknowledgeBeforeSync'),
  voteTwice: raft('voteTwice'),
  commitOldTermEntries: raft('commitOldTermEntries'),
  ignoreLogOrder: raft('ignoreLogOrder'),
  skipReadConfirmation: raft('skipReadConfirmation'),
} as const satisfies Record<string, BrokenSwitches>;

/** Names of the rules that can be broken. */
export type BrokenRule = keyof typeof SWITCHES;
export const BROKEN_RULES = Object.keys(SWITCHES) as readonly BrokenRule[];

/** The switches that break `rule`; none when it is undefined. */
export function switchesOf(rule: BrokenRule | undefined): BrokenSwitches {
  return rule === undefined ? SOUND : SWITCHES[rule];
}

/**
 * Reads the value of `--break`.
 *
 * @throws RangeError when there is no such rule.
 */
export function parseBrokenRule(text: string): BrokenRule {
  const rule = BROKEN_RULES.find((known) => known === text);
  if (rule !== undefined) return rule;
  throw new RangeError(`there is no rule "${text}"; known rules: ${BROKEN_RULES.join(', ')}`);
}
