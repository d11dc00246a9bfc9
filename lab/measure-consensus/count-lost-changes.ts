/** Compares what was accepted with what the group lists. */
import type { HistoryReport } from '../../src/administration/response-schemas.js';
import type { OperatorClient } from '../../src/operator/operator-client.js';

/** Changes of one answer. */
const PAGE = 500;

/** Ids of all accepted changes that the group still lists, by revision. */
async function readAll(client: OperatorClient): Promise<Map<number, string>> {
  const ids = new Map<number, string>();
  let before: number | undefined;
  for (;;) {
    const older = before === undefined ? '' : `&before=${before}`;
    const target = `/v1/history?limit=${PAGE}${older}`;
    const { changes } = await client.get<HistoryReport>(target);
    for (const { revision, changeId } of changes) ids.set(revision, changeId);
    const oldest = changes.at(-1)?.revision;
    if (oldest === undefined || oldest === 1) return ids;
    before = oldest;
  }
}

/** How many of the accepted revisions are not listed with the change that made them. */
export async function countLostChanges(
  client: OperatorClient,
  accepted: Iterable<number>,
): Promise<number> {
  const ids = await readAll(client);
  return [...accepted].filter((revision) => ids.get(revision) !== `change-${revision}`).length;
}
