import { describe, expect, it } from 'vitest';
import { GroupGather } from '../../src/aggregation/group-gather.js';

const SHARDS = ['a', 'b'];

/** What a leaf's link calls back; see `LeafLink.gather`. */
interface LeafCallbacks {
  readonly onDeclined: (reason: string) => void;
  readonly onLost: () => void;
}

/** A leaf that notes that it was asked, and does what the test says. */
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

/** A gather over `links`, asked in their order; `mayRepeat` stands for the root's grant. */
function gatherOver(links: readonly FakeLink[], mayRepeat: { isGranted: boolean }) {
  const failed: string[] = [];
  const context = {
    environment: { clock: { now: () => 0, setTimer: () => ({ cancel: () => undefined }) } },
    answerMargin: { cutOffDelay: () => 100 },
  };
  const pool = {
    avoid: () => undefined,
    choose: (_group: unknown, asked: ReadonlySet<string>) =>
      links.find(({ leaf }) => !asked.has(leaf.name)),
  };
  const latencies = { patience: () => 50 };
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
    maySendAgain: () => mayRepeat.isGranted,
  };
  const listener = {
    onParts: () => undefined,
    onFailed: (shards: readonly string[]) => failed.push(...shards),
  };
  const gather = new GroupGather(parts as never, request as never, options as never, listener);
  return { gather, failed };
}

describe('a group of shards whose leaf is lost before it reported', () => {
  it('goes on to a third leaf when the second one declines after the grant', () => {
    const links = ['first', 'second', 'third'].map((name) => new FakeLink(name));
    const mayRepeat = { isGranted: false };
    const { gather } = gatherOver(links, mayRepeat);
    const [first, second, third] = links as [FakeLink, FakeLink, FakeLink];
    gather.start();
    first.callbacks?.onLost();
    expect(second.callbacks).toBeUndefined();
    mayRepeat.isGranted = true;
    gather.handleGrant();
    second.callbacks?.onDeclined('stopping');
    expect(third.callbacks).toBeDefined();
  });

  it('counts as offered: replicas may have been asked', () => {
    const [first, second] = [new FakeLink('first'), new FakeLink('second')];
    const { gather } = gatherOver([first, second], { isGranted: false });
    gather.start();
    first.callbacks?.onLost();
    expect(gather.mayHaveSent).toBe(true);
    expect(gather.mayRun).toBe(true);
  });
});
