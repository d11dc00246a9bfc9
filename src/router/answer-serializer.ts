/** Writes the merged answer as JSON, without parsing and writing the shards' results anew. */
import type { QueryAnswer } from '../model/query-answer.js';
import type { ReachedShard } from './execution-result.js';

/** The JSON text of a {@link QueryAnswer}. */
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
