import { Registry } from 'prom-client';
import { beforeEach, describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { EncodedHistory } from '../../src/control-stream/encoded-history.js';
import { observe } from '../../src/control-stream/observe.js';
import { STREAM_CODEC, type StreamMessage } from '../../src/control-stream/stream-messages.js';
import { QUORUM_LEASE_MS } from '../../src/control-stream/stream-timing.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { ConfigurationStateMachine } from '../../src/settings/configuration-state-machine.js';
import { changeCommand, CLUSTER } from './controller-fixture.js';
import { ScriptedSource } from './scripted-source.js';

const SEED = 4;
const ENDED = 'driftway_control_stream_sessions_ended_total';
const MALFORMED = 'driftway_control_stream_malformed_frames_total';

let simulation: Simulation;
let source: ScriptedSource;
let registry: Registry;
let client: ControlStreamClient;
let revisions: number[];
/** The state from which `history` encodes the frames that a correct controller would send. */
let machine: ConfigurationStateMachine;
let history: EncodedHistory;

function apply(revision: number): void {
  machine.apply(changeCommand(revision), revision);
}

function sendFrames(frames: readonly Uint8Array[]): void {
  for (const frame of frames) source.sendBytes(frame);
}

function sendHeartbeat(overrides: Partial<StreamMessage> = {}): void {
  source.send({
    kind: 'heartbeat',
    committedRevision: history.revision,
    stateHash: history.stateHash,
    sinceQuorumMs: 0,
    sourceTime: source.now,
    ...overrides,
  } as StreamMessage);
}

async function counter(name: string, reason?: string): Promise<number> {
  const values = (await registry.getSingleMetric(name)?.get())?.values ?? [];
  return values
    .filter(({ labels }) => reason === undefined || labels['reason'] === reason)
    .reduce((sum, { value }) => sum + value, 0);
}

beforeEach(async () => {
  simulation = new Simulation(SEED);
  const host = simulation.createMachine('controller-1', 'nayoro');
  source = await simulation.settle(ScriptedSource.start(host));
  machine = new ConfigurationStateMachine();
  history = new EncodedHistory(machine, () => undefined);
  registry = new Registry();
  revisions = [];
  const router = simulation.createMachine('router-1', 'nayoro');
  client = ControlStreamClient.start(
    router.environment,
    { name: 'router-1', zone: 'nayoro', cluster: CLUSTER, controllers: [source.endpoint] },
    { logger: SILENT_LOGGER, registry },
  );
  observe(client.revisions, ({ revision }) => revisions.push(revision));
  await simulation.runFor(500);
});

/** Welcomes the daemon and sends it a snapshot of revision 1. */
async function startAtRevisionOne(): Promise<void> {
  source.welcome();
  apply(1);
  sendFrames(history.snapshotFrames());
  await simulation.runFor(100);
  expect(revisions).toEqual([1]);
}

describe('a daemon', () => {
  it('requests the whole configuration when a change is missing', async () => {
    await startAtRevisionOne();
    apply(2);
    apply(3);
    sendFrames(history.framesAfter(2));
    await simulation.runFor(100);
    expect(source.messagesOf('resync')).toEqual([{ kind: 'resync', reason: 'gap' }]);
    expect(revisions).toEqual([1]);
    sendFrames(history.snapshotFrames());
    await simulation.runFor(100);
    expect(revisions).toEqual([1, 3]);
    expect(await counter('driftway_control_stream_resyncs_total', 'gap')).toBe(1);
  });

  it('does not apply a change that produces content other than the source has', async () => {
    await startAtRevisionOne();
    apply(2);
    const [frame] = history.framesAfter(1);
    const [delta] = STREAM_CODEC.decodeBatch(frame ?? expect.fail('no frame'), 'test');
    source.send({ ...delta, stateHash: '0'.repeat(16) } as StreamMessage);
    await simulation.runFor(100);
    expect(revisions).toEqual([1]);
    expect(source.messagesOf('resync')).toEqual([{ kind: 'resync', reason: 'divergence' }]);
  });

  it('does not accept its first configuration from a source that is not proven fresh', async () => {
    source.welcome(false);
    apply(1);
    sendFrames(history.snapshotFrames());
    await simulation.runFor(100);
    expect(revisions).toEqual([]);
  });

  it('treats a delayed heartbeat as being as old as its time of writing', async () => {
    await startAtRevisionOne();
    sendHeartbeat();
    await simulation.runFor(2_000);
    expect(client.freshness().fresh).toBe(true);
    const writtenLongAgo = source.now - QUORUM_LEASE_MS;
    await simulation.runFor(500);
    sendHeartbeat({ sourceTime: writtenLongAgo });
    await simulation.runFor(2_000);
    // The earlier proof has expired, and the delayed heartbeat did not renew it.
    expect(client.freshness().fresh).toBe(false);
  });

  it('stays with a source proven fresh when a heartbeat written before the proof arrives', async () => {
    await startAtRevisionOne();
    sendHeartbeat({ sinceQuorumMs: Infinity });
    await simulation.runFor(QUORUM_LEASE_MS - 1_000);
    expect(await counter(ENDED)).toBe(0);
    sendHeartbeat({ sinceQuorumMs: Infinity });
    await simulation.runFor(2_000);
    expect(await counter(ENDED, 'cut_off')).toBe(1);
  });

  it('waits for a snapshot that takes longer to arrive than the quorum lease lasts', async () => {
    source.welcome();
    apply(1);
    const small = new EncodedHistory(machine, () => undefined, { chunkBytes: 16, changes: 1 });
    for (const frame of small.snapshotFrames()) {
      source.sendBytes(frame);
      await simulation.runFor(1_000);
    }
    sendHeartbeat();
    await simulation.runFor(100);
    expect(revisions).toEqual([1]);
    expect(client.freshness().fresh).toBe(true);
    expect(await counter(ENDED)).toBe(0);
  });

  it('ends the session when the next chunk of a snapshot does not arrive', async () => {
    source.welcome();
    apply(1);
    const small = new EncodedHistory(machine, () => undefined, { chunkBytes: 16, changes: 1 });
    sendFrames(small.snapshotFrames().slice(0, 3));
    await simulation.runFor(4_000);
    expect(await counter(ENDED, 'silent')).toBe(1);
  });

  const malformedMessages: [string, () => void][] = [
    ['an unknown message', () => source.sendBytes(Uint8Array.of(255))],
    ['a chunk of a snapshot that was not announced', () => source.send(CHUNK)],
    ['a configuration above the size limit', () => source.send({ ...BEGIN, totalBytes: 2 ** 40 })],
    ['a configuration that is not JSON', () => source.send(BEGIN, CHUNK)],
    ['a message that only daemons send', () => source.send({ kind: 'resync', reason: 'gap' })],
    ['a change that is not JSON', () => source.send({ ...DELTA, change: Buffer.from('{') })],
    [
      'a liveness report with an unknown state',
      () => source.send({ ...LIVENESS_REPORT, state: 'constructor' }),
    ],
  ];
  it.each(malformedMessages)(
    'closes the connection on receiving %s, and counts the frame',
    async (_name, send) => {
      await startAtRevisionOne();
      send();
      await simulation.runFor(100);
      expect(await counter(MALFORMED)).toBe(1);
      expect(await counter(ENDED, 'malformed')).toBe(1);
      expect(revisions).toEqual([1]);
    },
  );
});

const BEGIN = { kind: 'snapshotBegin', revision: 9, stateHash: '', totalBytes: 1 } as const;
const CHUNK = { kind: 'snapshotChunk', bytes: Buffer.from('x') } as const;
const DELTA = { kind: 'delta', revision: 2, stateHash: '' } as const;
const LIVENESS_REPORT = {
  kind: 'sign',
  replicaId: 'replica-1',
  incarnation: 1,
  state: 'live',
  observedBy: 'router-2',
} as const;
