import { beforeEach, describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { EXCHANGE_CODEC } from '../../src/control-stream/exchange-messages.js';
import { STREAM_CODEC, type StreamMessage } from '../../src/control-stream/stream-messages.js';
import { MAXIMUM_SUBSCRIBER_FRAME_BYTES } from '../../src/control-stream/subscriber-session.js';
import type { ConnectionRole } from '../../src/protocol/connection-role.js';
import { dial } from '../../src/protocol/dial.js';
import { MAXIMUM_FRAME_BYTES, type MessageConnection } from '../../src/seams/message-connection.js';
import { CLUSTER, setMembers, TestController } from './controller-fixture.js';

const SEED = 4;
const SUBSCRIBER = 'driftway_control_stream_subscriber_malformed_frames_total';
const EXCHANGE = 'driftway_exchange_malformed_frames_total';
const LIVENESS_REPORT = {
  kind: 'sign',
  replicaId: 'replica-1',
  incarnation: 1,
  state: 'live',
} as const;
const SUBSCRIPTION: StreamMessage = {
  kind: 'subscribe',
  incarnation: 1,
  zone: 'nayoro',
  version: '0',
  heldRevision: -1,
  probe: false,
};

let simulation: Simulation;
let controller: TestController;

beforeEach(async () => {
  simulation = new Simulation(SEED);
  const host = simulation.createMachine('controller-1', 'nayoro');
  controller = await simulation.settle(TestController.start(host));
  setMembers([controller]);
});

function connect(role: ConnectionRole): Promise<MessageConnection> {
  const { environment } = simulation.createMachine('peer', 'nayoro');
  const identity = { clusterId: CLUSTER.id, clusterKey: CLUSTER.key, name: 'peer' };
  const { address } = controller.endpoint;
  return simulation.settle(dial(environment, identity, { address, role, connectTimeout: 1_000 }));
}

/** Sends frames to the controller; returns whether it closes the connection within a second. */
async function isClosedAfter(role: ConnectionRole, frames: Uint8Array[]): Promise<boolean> {
  const connection = await connect(role);
  let closed = false;
  void connection.closed.then(() => (closed = true));
  for (const frame of frames) void connection.send(frame).catch(() => undefined);
  await simulation.runFor(1_000);
  return closed;
}

function stream(message: object): Uint8Array {
  return STREAM_CODEC.encode(message as StreamMessage);
}

const WELL_FORMED = stream({ kind: 'report', sequence: 1, revision: 0 });
const OVERSIZED_FRAME = Buffer.alloc(MAXIMUM_FRAME_BYTES + 1);

describe('a controller', () => {
  const fromDaemons: [string, Uint8Array][] = [
    ['an unknown message', Uint8Array.of(255)],
    ['a truncated message', WELL_FORMED.subarray(0, 2)],
    ['a message that only controllers send', stream({ kind: 'snapshotChunk', bytes: WELL_FORMED })],
    [
      'a liveness report with an unknown state',
      stream({ ...LIVENESS_REPORT, state: 'asleep', observedBy: 'router-1' }),
    ],
    [
      'a liveness report with an invalid observer name',
      stream({ ...LIVENESS_REPORT, observedBy: '' }),
    ],
    ['a frame above the limit for daemons', Buffer.alloc(MAXIMUM_SUBSCRIBER_FRAME_BYTES + 1, 17)],
    ['a frame above the general limit', OVERSIZED_FRAME],
  ];
  it.each(fromDaemons)(
    'closes the connection of a daemon that sends %s, and counts the frame',
    async (_name, frame) => {
      expect(await isClosedAfter('subscriber', [stream(SUBSCRIPTION), frame])).toBe(true);
      expect(await controller.counter(SUBSCRIBER)).toBe(1);
    },
  );

  it('closes the connection of a daemon that does not subscribe first, and counts the frame', async () => {
    expect(await isClosedAfter('subscriber', [WELL_FORMED])).toBe(true);
    expect(await controller.counter(SUBSCRIBER)).toBe(1);
  });

  // Guards against a sending task that never pauses: it held the controller until its heap was used up.
  it('closes the connection of a daemon that asks for the configuration on a probe', async () => {
    const probe = stream({ ...SUBSCRIPTION, heldRevision: 0, probe: true });
    const resync = stream({ kind: 'resync', reason: 'gap' });
    expect(await isClosedAfter('subscriber', [probe, resync])).toBe(true);
    expect(await controller.counter(SUBSCRIBER)).toBe(1);
  });

  const fromControllers: [string, Uint8Array][] = [
    ['an unknown message', Uint8Array.of(255)],
    [
      'a liveness report with an unknown state',
      EXCHANGE_CODEC.encode({
        ...LIVENESS_REPORT,
        kind: 'scopedSign',
        scope: '',
        state: '',
        observedBy: 'x',
      }),
    ],
    ['a frame above the general limit', OVERSIZED_FRAME],
  ];
  it.each(fromControllers)(
    'closes the connection of a controller that sends %s, and counts the frame',
    async (_name, frame) => {
      expect(await isClosedAfter('exchange', [frame])).toBe(true);
      expect(await controller.counter(EXCHANGE)).toBe(1);
    },
  );

  it('survives a daemon that disconnects while its read barrier is pending, and removes it', async () => {
    controller.log.readsHang = true;
    const connection = await connect('subscriber');
    void connection.send(stream(SUBSCRIPTION));
    await simulation.runFor(500);
    connection.close();
    await simulation.runFor(10_000);
    expect(await controller.counter('driftway_control_stream_subscribers')).toBe(0);
  });

  it('keeps the connection of a daemon that follows the protocol', async () => {
    expect(await isClosedAfter('subscriber', [stream(SUBSCRIPTION), WELL_FORMED])).toBe(false);
    expect(await controller.counter(SUBSCRIBER)).toBe(0);
  });
});
