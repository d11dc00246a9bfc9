/** Serializes a merged answer, embedding the shards' results as the JSON text they arrived as. */
import type { QueryAnswer } from '../model/query-answer.js';
import type { ReachedShard } from './execution-result.js';

/** JSON text of the {@link QueryAnswer} with the fields of `head` and the results of the shards. */
export function serializeAnswer(
  head: Omit<QueryAnswer, 'results'>,
  results: readonly ReachedShard[],
): string {
  const parts = results.map(
    ({ shardId, resultText }) => `{"shardId":${JSON.stringify(shardId)},"result":${resultText}}`,
  );
  const headText = JSON.stringify(head);
  return `${headText.slice(0, -1)},"results":[${parts.join(',')}]}`;
}
