import { describe, expect, it } from 'vitest';
import { countLostChanges } from '../../../lab/measure-consensus/count-lost-changes.js';
import type { OperatorClient } from '../../../src/operator/operator-client.js';

/** A group that lists these changes, as the administration API pages them. */
function clientOf(ids: ReadonlyMap<number, string>): OperatorClient {
  const get = async (target: string): Promise<unknown> => {
    const query = new URL(target, 'http://controller').searchParams;
    const before = Number(query.get('before') ?? Infinity);
    const revisions = [...ids.keys()].filter((revision) => revision < before);
    const page = revisions.toSorted((a, b) => b - a).slice(0, Number(query.get('limit')));
    return { changes: page.map((revision) => ({ revision, changeId: ids.get(revision) })) };
  };
  return { get } as unknown as OperatorClient;
}

const REVISIONS = Array.from({ length: 1_200 }, (_, place) => place + 1);
const LISTED = new Map(REVISIONS.map((revision) => [revision, `change-${revision}`]));

describe('countLostChanges', () => {
  it('reads every page', async () => {
    expect(await countLostChanges(clientOf(LISTED), REVISIONS)).toBe(0);
  });

  it('counts what is not listed, and what is listed as another change', async () => {
    const listed = new Map(LISTED).set(3, 'change-of-another');
    listed.delete(1_200);
    listed.delete(700);
    expect(await countLostChanges(clientOf(listed), REVISIONS)).toBe(3);
  });
});
