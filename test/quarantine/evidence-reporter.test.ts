/** Tests that reports to controllers end with the gateway. */
import { describe, expect, it } from 'vitest';
import { EvidenceReporter } from '../../src/quarantine/evidence-reporter.js';
import {
  NO_EVIDENCE,
  QuarantineChangeKind,
  type QuarantineChange,
} from '../../src/quarantine/quarantine-register.js';
import { ManualClock } from '../support/manual-clock.js';

const CHANGE: QuarantineChange = {
  ...NO_EVIDENCE,
  kind: QuarantineChangeKind.Evidence,
  fingerprint: 'f',
};

describe('EvidenceReporter', () => {
  // Guards against a stopped gateway whose process is kept running by reports that nobody takes.
  it('leaves no timer when it is stopped without a controller', async () => {
    const clock = new ManualClock();
    const reporter = new EvidenceReporter({ clock, send: () => false });
    reporter.report(CHANGE);
    expect(clock.pendingTimers).toBe(1);
    reporter.stop();
    await Promise.resolve();
    expect(clock.pendingTimers).toBe(0);
    reporter.report(CHANGE);
    expect(clock.pendingTimers).toBe(0);
  });

  it('sends what was not sent yet when it is stopped', () => {
    const sent: QuarantineChange[] = [];
    const clock = new ManualClock();
    const reporter = new EvidenceReporter({ clock, send: (change) => sent.push(change) > 0 });
    reporter.report(CHANGE);
    expect(sent).toEqual([]);
    reporter.stop();
    expect(sent).toEqual([CHANGE]);
  });
});
