import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import type { KnownController } from '../../src/directory/controller-choice.js';
import type { DirectoryLink } from '../../src/directory/directory-link.js';
import { FollowedControllers } from '../../src/directory/followed-controllers.js';
import { ManualClock } from '../support/manual-clock.js';

const CONTROLLERS = Array.from({ length: 8 }, (_, index) => `10.0.0.${index}:7500`);
const SEEDS = CONTROLLERS.slice(0, 3);
const LINK_CHECKS_MS = 1_000;

/** What a link shows to its owner, set by the test. */
interface StandInLink {
  readonly address: string;
  readonly startedAt: number;
  openedAt: number | undefined;
  isUnreachable: boolean;
  status: { receivedAt: number; ageMs: number; stopping: boolean } | undefined;
  controllers: readonly KnownController[];
}

class Fleet {
  readonly clock = new ManualClock();
  readonly links = new Map<string, StandInLink>();
  /** Links made so far. */
  created = 0;
  readonly followed = new FollowedControllers({
    environment: { clock: this.clock, random: seededRandom(1, 'links') } as never,
    ownName: 'gateway-1',
    ownZone: 'a',
    ownAddress: undefined,
    followed: 2,
    createLink: (address) => this.createLink(address),
  });

  constructor(seeds = CONTROLLERS) {
    void this.followed.maintainLinks();
    this.followed.setSeeds(seeds);
  }

  /** Runs some checks, with time for the task between them. */
  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      this.clock.advance(50);
      await Promise.resolve();
    }
  }

  /** Opens the stream to a controller that has no quorum. */
  openStale(address: string): void {
    const link = this.links.get(address);
    if (link === undefined) return;
    link.isUnreachable = false;
    link.openedAt = this.clock.now();
    link.status = { receivedAt: this.clock.now(), ageMs: 10_000, stopping: false };
    this.followed.handleOpened();
  }

  private createLink(address: string): DirectoryLink {
    const link: StandInLink = {
      address,
      startedAt: this.clock.now(),
      openedAt: undefined,
      isUnreachable: false,
      status: undefined,
      controllers: [],
    };
    this.links.set(address, link);
    this.created += 1;
    const stop = async (): Promise<void> => void this.links.delete(address);
    return Object.assign(link, { stop }) as never;
  }
}

// Guards against a fleet that keeps controllers from electing a leader after the loss of all: each
// gateway opened a stream to each controller, and was sent everything by each.
describe('a gateway that has lost all controllers', () => {
  it('dials every one while none can be reached', async () => {
    const fleet = new Fleet();
    for (let round = 0; round < 8; round += 1) {
      for (const link of fleet.links.values()) link.isUnreachable = true;
      await fleet.pass(LINK_CHECKS_MS);
    }
    expect(fleet.links.size).toBe(CONTROLLERS.length);
  });

  it('keeps as many streams as it wants once they are back, and widens the search after a while', async () => {
    const fleet = new Fleet();
    for (let round = 0; round < 8; round += 1) {
      for (const link of fleet.links.values()) link.isUnreachable = true;
      await fleet.pass(LINK_CHECKS_MS);
    }
    for (const address of CONTROLLERS) fleet.openStale(address);
    expect(fleet.links.size).toBe(2);
    await fleet.pass(800);
    expect(fleet.links.size).toBe(2);
    await fleet.pass(LINK_CHECKS_MS);
    expect(fleet.links.size).toBeGreaterThan(2);
  });

  it('does not change its streams again and again while it learns who the controllers are', async () => {
    const fleet = new Fleet(SEEDS);
    for (let round = 0; round < 40; round += 1) {
      for (const { address, openedAt } of [...fleet.links.values()]) {
        if (openedAt === undefined) fleet.openStale(address);
        const link = fleet.links.get(address);
        if (link === undefined) continue;
        link.controllers = CONTROLLERS.map((known, index) => ({
          address: known,
          zone: index >= SEEDS.length ? 'a' : 'b',
        }));
        fleet.followed.recordGroupMembers(link.controllers);
      }
      await fleet.pass(50);
    }
    expect(fleet.created).toBeLessThanOrEqual(CONTROLLERS.length);
  });
});
