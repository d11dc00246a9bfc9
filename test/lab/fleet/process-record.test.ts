import { describe, expect, it } from 'vitest';
import { checkProcesses, type ProcessRecord } from '../../../lab/fleet/process-record.js';

const STOPPED = { name: 'controller-2', exitCode: 0, hung: false };
const KILLED = { name: 'controller-2', signal: 'SIGKILL', hung: false };

/** One controller, killed once on purpose and stopped after its second start. */
const SOUND: ProcessRecord = {
  started: ['controller-2', 'controller-2'],
  ends: [KILLED, STOPPED],
  killed: ['controller-2'],
};

const BROKEN: readonly (readonly [string, Partial<ProcessRecord>, RegExp])[] = [
  ['an exit code', { ends: [KILLED, { ...STOPPED, exitCode: 1 }] }, /ended with exit code 1/],
  ['a hung stop', { ends: [KILLED, { ...KILLED, hung: true }] }, /did not stop in time/],
  ['a second death by SIGKILL', { ends: [KILLED, KILLED] }, /ended with SIGKILL/],
  ['a death by another signal', { ends: [{ ...KILLED, signal: 'SIGSEGV' }, STOPPED] }, /SIGSEGV/],
  ['a process left running', { ends: [KILLED] }, /controller-2 was still running/],
  ['a kill that nobody asked for', { killed: [] }, /ended with SIGKILL/],
  ['no process at all', { started: [], ends: [] }, /no process was started/],
];

describe('the record of processes', () => {
  it('has no problem when all ended as they were meant to', () => {
    expect(checkProcesses(SOUND)).toEqual([]);
  });

  it.each(BROKEN)('names %s', (_name, change, problem) => {
    expect(checkProcesses({ ...SOUND, ...change }).join('\n')).toMatch(problem);
  });
});
