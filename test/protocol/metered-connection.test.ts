import { expect, it } from 'vitest';
import { AGGREGATION_CODEC } from '../../src/aggregation/aggregation-messages.js';
import type { TrafficNote } from '../../src/observability/zone-traffic.js';
import { MeteredConnection } from '../../src/protocol/metered-connection.js';
import { InMemoryConnection } from '../aggregation/in-memory-connection.js';

const CANCEL = AGGREGATION_CODEC.encode({ kind: 'cancel', gatherId: 7 });
const DECLINED = AGGREGATION_CODEC.encode({ kind: 'declined', gatherId: 7, reason: 'full' });
/** A frame is preceded by its length. Bytes. */
const LENGTH_BYTES = 4;

it('passes frames on unchanged and notes each with its kind, direction and size', async () => {
  const notes: TrafficNote[] = [];
  const [near, far] = InMemoryConnection.pair();
  const connection = new MeteredConnection(near, {
    kindOf: (frame) => AGGREGATION_CODEC.kindOf(frame),
    note: (note) => notes.push(note),
  });
  await connection.send(CANCEL);
  expect(await far.receive()).toEqual(CANCEL);
  await far.send(DECLINED);
  expect(await connection.receive()).toEqual(DECLINED);
  await far.send(Uint8Array.of(255));
  await connection.receive();
  expect(notes).toEqual([
    { kind: 'cancel', direction: 'sent', bytes: CANCEL.length + LENGTH_BYTES },
    { kind: 'declined', direction: 'received', bytes: DECLINED.length + LENGTH_BYTES },
    { kind: 'unknown', direction: 'received', bytes: 1 + LENGTH_BYTES },
  ]);
});

it('counts nothing for the end of the connection', async () => {
  const notes: TrafficNote[] = [];
  const [near, far] = InMemoryConnection.pair();
  const note = (noted: TrafficNote): void => void notes.push(noted);
  const connection = new MeteredConnection(near, { kindOf: () => 'any', note });
  far.close();
  expect(await connection.receive()).toBeUndefined();
  connection.close();
  await connection.closed;
  expect(notes).toEqual([]);
});
