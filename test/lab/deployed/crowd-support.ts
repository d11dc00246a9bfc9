/** One crowd at one gateway: what has to hold whatever the crowd does. */
import { readdirSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, it } from 'vitest';
import { CallerCrowd, type CrowdCaller } from '../../../lab/deployed/caller-crowd.js';
import { PLATFORM_HEADERS } from '../../../platform/platform-headers.js';
import type { Address } from '../../../src/seams/address.js';
import { DeployedSite, PATHS, ROUTE_HOST, ask, type Answer } from './deployed-support.js';

const HTTP_OK = 200;
const LONGEST_TEST_MS = 150_000;
const ORDINARY_DEADLINE_MS = 8_000;
/** Descriptors of a gateway without callers, with those of replicas and peers. */
const OWN_DESCRIPTORS = 120;

/** A crowd, and the machine that it meets. */
export interface CrowdTest {
  readonly name: string;
  readonly memoryMb: number;
  readonly size: number;
  readonly caller: CrowdCaller;
  /** The crowd has gone on for long enough once it has opened so many connections. */
  readonly connections: number;
  /** And once the open ones have taken so many bytes. */
  readonly bytes: number;
  /** Of each answer of the replicas. */
  readonly answerBytes?: number;
}

/** The head of a request; without a length or the headers that callers usually send if there are no `lines`. */
export function head(method: string, path: string, ...lines: string[]): string {
  return [`${method} ${path} HTTP/1.1`, `host: ${ROUTE_HOST}`, ...lines, '', ''].join('\r\n');
}

/** The usual headers of a request. */
export function usualHeaders(requestId: string): string[] {
  return [
    `${PLATFORM_HEADERS.requestId}: ${requestId}`,
    `${PLATFORM_HEADERS.deadline}: ${ORDINARY_DEADLINE_MS}`,
  ];
}

function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}

/** One request of a caller that leaves at its deadline. */
function askOrdinary(address: Address): Promise<Answer | undefined> {
  const terms = { path: PATHS.repeatable, requestId: 'ordinary', deadlineMs: ORDINARY_DEADLINE_MS };
  const left = sleep(ORDINARY_DEADLINE_MS, undefined, { ref: false });
  return Promise.race([ask(address, terms), left]);
}

/** Declares the test. */
export function testCrowd(test: CrowdTest): void {
  let site: DeployedSite;

  afterEach(() => site.close());

  it(
    test.name,
    async () => {
      site = await DeployedSite.create({ memoryMb: test.memoryMb, controllers: 1, gateways: 1 });
      await site.serve();
      const [gateway] = site.fleet.gateways;
      if (gateway === undefined) throw new Error('expected a gateway');
      const { answerBytes } = test;
      if (answerBytes !== undefined) {
        for (const { replica } of site.replicas.all) replica.content = 'z'.repeat(answerBytes);
      }
      const crowd = new CallerCrowd(gateway.address, test.size, test.caller);
      crowd.start();
      await Promise.race([crowd.untilSent(test.connections, test.bytes), gateway.process.ended]);
      const { pid, isRunning } = gateway.process;
      expect(site.unexpectedEnds).toEqual([]);
      if (pid === undefined || !isRunning) throw new Error('expected a running gateway');
      expect(countDescriptors(pid)).toBeLessThanOrEqual(test.size + OWN_DESCRIPTORS);
      for (const { replica } of site.replicas.all) replica.content = '';
      const ordinary = await askOrdinary(gateway.address);
      crowd.stop();
      expect(ordinary?.status).toBe(HTTP_OK);
      expect(site.unexpectedEnds).toEqual([]);
    },
    LONGEST_TEST_MS,
  );
}
