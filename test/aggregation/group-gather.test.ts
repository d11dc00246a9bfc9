import { describe, expect, it } from 'vitest';
import { GroupGather } from '../../src/aggregation/group-gather.js';
import { ExtraAttemptBudget } from '../../src/gateway/extra-attempt-budget.js';
import { ManualClock } from '../support/manual-clock.js';

const SHARDS = ['a', 'b'];

/** Callbacks of a gather that the tests call; see `LeafLink.gather`. */
interface LeafCallbacks {
  readonly onDeclined: (reason: string) => void;
  readonly onLost: () => void;
}

/** Stands in for a `LeafLink`: records the callbacks of the gather, for the test to call. */
class FakeLink {
  readonly leaf: { readonly name: string };
  callbacks: LeafCallbacks | undefined;
  /** Whether the leaf has sent anything since it was sent the gather. */
  isHeardOf = false;

  constructor(name: string) {
    this.leaf = { name };
  }

  gather(_call: unknown, callbacks: LeafCallbacks): object {
    this.callbacks = callbacks;
    const hasHeardSince = (): boolean => this.isHeardOf;
    return { cancel: () => undefined, grant: () => undefined, hasHeardSince };
  }
}

/** Further leaves that a root may try beside silent ones. */
function createRepeats(): ExtraAttemptBudget {
  return new ExtraAttemptBudget({ ratio: 0.1, slack: 10, windowMs: 10_000 }, 1, true);
}

/** Creates a gather that tries `links` in order; `secondAttempts` stands for the root's grant. */
function gatherOver(
  links: readonly FakeLink[],
  secondAttempts: { isGranted: boolean },
  clock = new ManualClock(),
  repeats = createRepeats(),
) {
  const failed: string[] = [];
  const context = {
    environment: { clock },
    answerMargin: { cutOffDelay: () => 100 },
    metrics: { gathersRepeated: { inc: () => undefined } },
  };
  const pool = {
    avoid: () => undefined,
    choose: (_group: unknown, excluded: ReadonlySet<string>) =>
      links.find(({ leaf }) => !excluded.has(leaf.name)),
  };
  const latencies = { reportTimeoutMs: () => 50 };
  const contexts = { rootContext: context, leafContext: context, ownName: 'root' };
  const parts = { ...contexts, pool, latencies, repeats };
  const request = {
    route: { maximumAttempts: 3, targetLatencyMs: 100 },
    receivedAt: 0,
    deadline: 1_000,
  };
  const group = { shards: SHARDS, isRelayed: false, leaves: links.map(({ leaf }) => leaf) };
  const options = {
    group,
    totalShards: SHARDS.length,
    encodedRequest: new Uint8Array(),
    maySendAgain: () => secondAttempts.isGranted,
  };
  const listener = {
    onParts: () => undefined,
    onFailed: (shards: readonly string[]) => failed.push(...shards),
  };
  const gather = new GroupGather(parts as never, request as never, options as never, listener);
  return { gather, failed };
}

describe('a GroupGather whose leaf is lost before its first report', () => {
  it('tries a third leaf when the second one declines after the grant', () => {
    const links = ['first', 'second', 'third'].map((name) => new FakeLink(name));
    const secondAttempts = { isGranted: false };
    const { gather } = gatherOver(links, secondAttempts);
    const [first, second, third] = links as [FakeLink, FakeLink, FakeLink];
    gather.start();
    first.callbacks?.onLost();
    expect(second.callbacks).toBeUndefined();
    secondAttempts.isGranted = true;
    gather.handleGrant();
    second.callbacks?.onDeclined('stopping');
    expect(third.callbacks).toBeDefined();
  });

  it('counts as offered, as replicas may have received the request', () => {
    const [first, second] = [new FakeLink('first'), new FakeLink('second')];
    const { gather } = gatherOver([first, second], { isGranted: false });
    gather.start();
    first.callbacks?.onLost();
    expect(gather.mayHaveSent).toBe(true);
    expect(gather.mayRun).toBe(true);
  });
});

describe('gathers whose leaves are all silent', () => {
  it('are given to a second leaf within the budget alone', () => {
    const clock = new ManualClock();
    const repeats = createRepeats();
    const gathers = 200;
    const seconds = Array.from({ length: gathers }, () => {
      const links = [new FakeLink('first'), new FakeLink('second')] as const;
      gatherOver(links, { isGranted: true }, clock, repeats).gather.start();
      return links[1];
    });
    clock.advance(1_000);
    const repeated = seconds.filter(({ callbacks }) => callbacks !== undefined).length;
    expect(repeated).toBeGreaterThan(0);
    expect(repeated).toBeLessThanOrEqual(10 + gathers * 0.1);
  });
});

describe('a gather whose leaf is late and not silent', () => {
  // Guards against shards that are left with one replica each: two leaves may send no second attempts.
  it('stays with its leaf', () => {
    const clock = new ManualClock();
    const [first, second] = [new FakeLink('first'), new FakeLink('second')];
    const { gather } = gatherOver([first, second], { isGranted: true }, clock);
    gather.start();
    first.isHeardOf = true;
    clock.advance(1_000);
    expect(second.callbacks).toBeUndefined();
  });
});
