// Guards against a faulty replica that takes the callers of its siblings with it.
import { afterAll, beforeAll, beforeEach, expect, it } from 'vitest';
import { ENDLESS_ANSWERS } from '../../../lab/exchange/endless-answer.js';
import { DeployedSite, PATHS, SINGLE_SERVICE } from './deployed-support.js';
import { loadWhileFaulty, serveAgain } from './endless-load.js';

const MEMORY_MB = 250;
const CALLERS = 60;
const REQUESTS_PER_CALLER = 3;
const LONGEST_SETUP_MS = 60_000;

let site: DeployedSite;

beforeAll(async () => {
  site = await DeployedSite.create({ memoryMb: MEMORY_MB, gateways: 1 });
  await site.serve();
}, LONGEST_SETUP_MS);

beforeEach(() => serveAgain(site), LONGEST_SETUP_MS);

afterAll(() => site.close(), LONGEST_SETUP_MS);

it.each(ENDLESS_ANSWERS)(
  'callers are answered while one of three replicas sends %s',
  async (kind) => {
    const before = site.unexpectedEnds.length;
    const { all } = site.replicas;
    const one = all.filter(({ replica }) => replica.options.service === SINGLE_SERVICE).slice(0, 1);
    const load = { callers: CALLERS, requestsPerCaller: REQUESTS_PER_CALLER };
    const answered = await loadWhileFaulty(site, one, { kind, path: PATHS.repeatable, ...load });
    expect(site.unexpectedEnds.slice(before)).toEqual([]);
    expect(answered).toBeGreaterThan((CALLERS * REQUESTS_PER_CALLER) / 2);
  },
);
