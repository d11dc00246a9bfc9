import { beforeEach, describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import type { EncodedHistoryOptions } from '../../src/control-stream/encoded-history.js';
import { setMembers, TestController } from './controller-fixture.js';
import { TestDaemon } from './daemon-fixture.js';

const SEED = 4;
const SETTLE_MS = 1_000;
const SESSIONS_ENDED = 'driftway_control_stream_sessions_ended_total';
const RESYNCS = 'driftway_control_stream_resyncs_total';

/**
 * Longest time, stated in docs/design/control-stream.md, until a daemon follows
 * another controller after its own fell silent or lost its quorum. Milliseconds.
 */
const FAILOVER_LIMIT_MS = 7_000;

let simulation: Simulation;
let own: TestController;
let other: TestController;

/** Starts one controller in the daemons' zone and one in another zone. */
beforeEach(async () => {
  simulation = new Simulation(SEED);
  own = await startController('controller-1', 'asahikawa-a');
  other = await startController('controller-2', 'nayoro');
  setMembers([own, other]);
});

function startController(
  name: string,
  zone: string,
  options?: EncodedHistoryOptions,
): Promise<TestController> {
  const host = simulation.createMachine(name, zone);
  return simulation.settle(TestController.start(host, undefined, options));
}

function startDaemon(name: string, zone = 'asahikawa-a'): TestDaemon {
  return new TestDaemon(simulation.createMachine(name, zone), [own, other]);
}

function restartedHost({ host }: TestController): SimulatedMachine {
  host.restart({ keepDisk: true });
  return host;
}

/** Kills the daemon's process and starts a new one on the same machine. */
function restartDaemon(daemon: TestDaemon): TestDaemon {
  daemon.host.restart({ keepDisk: false });
  return new TestDaemon(daemon.host, [own, other]);
}

function acceptEverywhere(revision: number): void {
  own.acceptUpTo(revision);
  other.acceptUpTo(revision);
}

async function settledDaemon(revision: number): Promise<TestDaemon> {
  acceptEverywhere(revision);
  const daemon = startDaemon('router-1');
  await simulation.runFor(SETTLE_MS);
  expect(daemon.client.source).toBe('controller-1');
  expect(daemon.revision).toBe(revision);
  return daemon;
}

describe('the control stream', () => {
  it('delivers changes to every daemon in order, whichever controller it follows', async () => {
    const daemons = [
      startDaemon('router-1'),
      startDaemon('router-2'),
      startDaemon('router-3', 'nayoro'),
      startDaemon('router-4', 'wakkanai'),
    ];
    await simulation.runFor(SETTLE_MS);
    acceptEverywhere(3);
    await simulation.runFor(SETTLE_MS);
    for (const daemon of daemons) {
      expect(daemon.revisions).toEqual([0, 1, 2, 3]);
      expect(daemon.fresh).toBe(true);
    }
    expect(daemons[0]?.client.source).toBe('controller-1');
    expect(daemons[2]?.client.source).toBe('controller-2');
  });

  it('sends a configuration that is larger than a chunk in several chunks', async () => {
    const small = await startController('controller-3', 'wakkanai', { chunkBytes: 16, changes: 1 });
    small.acceptUpTo(5);
    const host = simulation.createMachine('router-1', 'wakkanai');
    const daemon = new TestDaemon(host, [small]);
    await simulation.runFor(SETTLE_MS);
    expect(daemon.client.current()).toEqual(small.machine.current());
  });

  it('makes a daemon leave a silent source, and return to its zone once that source is healthy', async () => {
    const daemon = await settledDaemon(1);
    own.host.freeze(20_000);
    await simulation.runFor(FAILOVER_LIMIT_MS);
    expect(daemon.client.source).toBe('controller-2');
    expect(await daemon.counter(SESSIONS_ENDED, 'silent')).toBe(1);
    await simulation.runFor(20_000);
    acceptEverywhere(2);
    await simulation.runFor(30_000);
    expect(daemon.client.source).toBe('controller-1');
    expect(daemon.revisions).toEqual([1, 2]);
  });

  it('makes a daemon leave a source that has lost its quorum', async () => {
    const daemon = await settledDaemon(1);
    own.log.loseQuorum();
    await simulation.runFor(FAILOVER_LIMIT_MS);
    expect(daemon.client.source).toBe('controller-2');
    expect(daemon.fresh).toBe(true);
    other.acceptUpTo(2);
    await simulation.runFor(SETTLE_MS);
    expect(daemon.revision).toBe(2);
  });

  it('makes a daemon leave a source that stays behind for one that is up to date', async () => {
    const daemon = await settledDaemon(3);
    own.acceptUpTo(4);
    await simulation.runFor(SETTLE_MS);
    own.host.crash();
    await simulation.runFor(SETTLE_MS);
    expect(daemon.client.source).toBe('controller-2');
    own = await simulation.settle(TestController.start(restartedHost(own), own.machine));
    await simulation.runFor(FAILOVER_LIMIT_MS);
    expect(daemon.client.source).toBe('controller-1');
    expect(daemon.fresh).toBe(true);
    expect(await daemon.counter(SESSIONS_ENDED, 'behind')).toBe(1);
  });

  it('makes a daemon leave at once when its source makes a planned stop', async () => {
    const daemon = await settledDaemon(1);
    await simulation.settle(own.server.stop());
    await simulation.runFor(SETTLE_MS);
    expect(daemon.client.source).toBe('controller-2');
    expect(await daemon.counter(SESSIONS_ENDED, 'stopping')).toBe(1);
  });
});

describe('the revision in force', () => {
  it('never decreases, even if the only remaining source has a lower one', async () => {
    const daemon = await settledDaemon(3);
    own.acceptUpTo(5);
    await simulation.runFor(SETTLE_MS);
    own.host.crash();
    await simulation.runFor(30_000);
    expect(daemon.revisions).toEqual([3, 4, 5]);
    expect(daemon.fresh).toBe(false);
    other.acceptUpTo(6);
    await simulation.runFor(30_000);
    expect(daemon.revisions).toEqual([3, 4, 5, 6]);
    expect(daemon.fresh).toBe(true);
  });

  it('decreases when the fault that applies lower revisions is enabled', async () => {
    acceptEverywhere(3);
    own.acceptUpTo(5);
    const host = simulation.createMachine('router-1', 'asahikawa-a');
    const daemon = new TestDaemon(host, [own, other], {}, { applyLowerRevision: true });
    await simulation.runFor(SETTLE_MS);
    own.host.crash();
    await simulation.runFor(30_000);
    expect(daemon.revisions).toEqual([5, 3]);
  });

  it('does not decrease when the daemon restarts while only a stale source is available', async () => {
    const daemon = await settledDaemon(3);
    own.acceptUpTo(5);
    await simulation.runFor(SETTLE_MS);
    own.host.crash();
    other.log.loseQuorum();
    const restarted = restartDaemon(daemon);
    await simulation.runFor(30_000);
    expect(restarted.revisions).toEqual([]);
    expect(restarted.fresh).toBe(false);
    other.acceptUpTo(5);
    other.log.regainQuorum();
    await simulation.runFor(FAILOVER_LIMIT_MS);
    expect(restarted.revisions).toEqual([5]);
  });

  it('is kept and marked as stale while no source has a quorum', async () => {
    const daemon = await settledDaemon(3);
    own.log.loseQuorum();
    other.log.loseQuorum();
    await simulation.runFor(FAILOVER_LIMIT_MS);
    expect(daemon.revision).toBe(3);
    expect(daemon.fresh).toBe(false);
    own.log.regainQuorum();
    other.log.regainQuorum();
    await simulation.runFor(FAILOVER_LIMIT_MS);
    expect(daemon.fresh).toBe(true);
  });

  it('is replaced by the same revision of the source if its content differs', async () => {
    acceptEverywhere(1);
    own.acceptDivergent(1_000);
    other.acceptDivergent(2_000);
    const daemon = startDaemon('router-1');
    await simulation.runFor(SETTLE_MS);
    expect(daemon.client.current()?.overrides['defaults']?.queueLimit).toBe(1_000);
    own.host.crash();
    await simulation.runFor(FAILOVER_LIMIT_MS);
    expect(daemon.client.current()?.overrides['defaults']?.queueLimit).toBe(2_000);
    expect(await daemon.counter(RESYNCS, 'divergence')).toBe(1);
    expect(await other.counter('driftway_control_stream_subscriber_resyncs_total')).toBe(1);
  });
});
