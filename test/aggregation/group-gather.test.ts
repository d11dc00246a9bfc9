import { describe, expect, it } from 'vitest';
import { GroupGather } from '../../src/aggregation/group-gather.js';

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

  constructor(name: string) {
    this.leaf = { name };
  }

  gather(_call: unknown, callbacks: LeafCallbacks): object {
    this.callbacks = callbacks;
    return { cancel: () => undefined, grant: () => undefined };
  }
}

/** Creates a gather that tries `links` in order; `secondAttempts` stands for the root's grant. */
function gatherOver(links: readonly FakeLink[], secondAttempts: { isGranted: boolean }) {
  const failed: string[] = [];
  const context = {
    environment: { clock: { now: () => 0, setTimer: () => ({ cancel: () => undefined }) } },
    answerMargin: { cutOffDelay: () => 100 },
  };
  const pool = {
    avoid: () => undefined,
    choose: (_group: unknown, excluded: ReadonlySet<string>) =>
      links.find(({ leaf }) => !excluded.has(leaf.name)),
  };
  const latencies = { reportTimeoutMs: () => 50 };
  const parts = { rootContext: context, leafContext: context, ownName: 'root', pool, latencies };
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
