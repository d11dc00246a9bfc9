/*
 * Guards against gateways that are kept from requests by changes of the routes: each of 17 versions a
 * second was sent to every gateway, twice where its zone has two controllers, and put in force there,
 * and fan-outs that wait for the slowest of many gateways were late.
 */
import { describe, expect, it } from 'vitest';
import { GatewayHarness, HOST, type LogLine } from './gateway-harness.js';

/** Pause between two versions, as of a release tool that changes one route after the other. Milliseconds. */
const PAUSE_MS = 60;
const VERSIONS = 25;
/** Time within which the last version has to be in force; the promise is "within seconds". Milliseconds. */
const IN_FORCE_MS = 2_000;
/**
 * At most 2.1 % of a core may go to control. Reading a document of a large fleet takes at least 4 ms
 * of processor time, so that more than five a second exceed this.
 */
const MAXIMUM_DOCUMENTS_PER_SECOND = 5;

function versionsInForce(lines: readonly LogLine[]): number[] {
  return lines
    .filter(({ message }) => message === 'route document in force')
    .map(({ fields }) => Number(fields['version']));
}

function documentOf(version: number): string {
  const route = { host: HOST, pathPrefix: '/ledger/', timeoutMs: 1_000, service: 'ledger' };
  return JSON.stringify({ version, routes: [route], services: [{ name: 'ledger' }] });
}

describe('a storm of route documents', () => {
  it('leaves each gateway time for requests and has its last version in force within seconds', async () => {
    const harness = await GatewayHarness.start(7, { others: 3 });
    const { group, simulation } = harness;
    await group.putRoutes(group.machineAt(0), documentOf(1));
    await simulation.runFor(IN_FORCE_MS);
    const lines = [harness.lines, ...harness.others.map((other) => other.lines)];
    for (const other of lines) other.length = 0;

    const startedAt = simulation.now;
    for (let version = 2; version <= VERSIONS + 1; version += 1) {
      await group.putRoutes(group.machineAt(version % 3), documentOf(version));
      await simulation.runUntil(startedAt + (version - 1) * PAUSE_MS);
    }
    const seconds = (simulation.now - startedAt) / 1_000;
    await simulation.runFor(IN_FORCE_MS);

    for (const other of lines) {
      const versions = versionsInForce(other);
      expect(versions.at(-1)).toBe(VERSIONS + 1);
      expect(versions.length).toBeLessThanOrEqual(
        Math.ceil(seconds * MAXIMUM_DOCUMENTS_PER_SECOND),
      );
    }
  });
});
