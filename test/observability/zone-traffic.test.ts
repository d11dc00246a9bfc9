import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import type { LogFields, Logger } from '../../src/observability/logger.js';
import { logZoneTraffic } from '../../src/observability/zone-traffic-log.js';
import { TrafficDirection, ZoneTraffic } from '../../src/observability/zone-traffic.js';

const METRIC = 'driftway_message_bytes_total';

it('counts bytes by kind, direction and place', async () => {
  const registry = new Registry();
  const traffic = new ZoneTraffic('north', registry);
  for (const zone of ['north', 'south', 'south', '']) {
    traffic.note(zone, { kind: 'gather', direction: TrafficDirection.Sent, bytes: 10 });
  }
  traffic.note('south', { kind: 'parts', direction: TrafficDirection.Received, bytes: 5 });
  const reading = await registry.getSingleMetric(METRIC)?.get();
  const counts = (reading?.values ?? []).map(({ labels, value }) => [
    labels['kind'],
    labels['direction'],
    labels['place'],
    value,
  ]);
  expect(counts).toEqual([
    ['gather', 'sent', 'own_zone', 10],
    ['gather', 'sent', 'other_zone', 20],
    ['gather', 'sent', 'unknown_zone', 10],
    ['parts', 'received', 'other_zone', 5],
  ]);
  expect(traffic.leavingBytes()).toEqual({ 'gather sent': 30, 'parts received': 5 });
});

it('writes what left the zone when it has grown, and not otherwise', async () => {
  const simulation = new Simulation(3);
  const { environment } = simulation.createMachine('gateway', 'north');
  const { clock } = environment;
  const traffic = new ZoneTraffic('north', new Registry());
  const lines: LogFields[] = [];
  const write = (_: string, fields: LogFields = {}): void => void lines.push(fields);
  const logger: Logger = { info: write, warn: write, error: write, child: () => logger };
  const stop = new AbortController();
  const done = logZoneTraffic({ clock, logger, traffic, stopped: stop.signal });
  traffic.note('north', { kind: 'gather', direction: TrafficDirection.Sent, bytes: 10 });
  await simulation.runFor(11_000);
  expect(lines).toEqual([]);
  traffic.note('south', { kind: 'gather', direction: TrafficDirection.Sent, bytes: 10 });
  await simulation.runFor(40_000);
  expect(lines).toEqual([{ bytes: 10, 'gather sent': 10 }]);
  stop.abort();
  await simulation.settle(done);
});
