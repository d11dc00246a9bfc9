import { describe, expect, it } from 'vitest';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { BackendHeader } from '../../src/model/backend-protocol.js';
import type { ReplyDraft } from './support/fake-backend.js';
import { RouterHarness } from './support/router-harness.js';

/** Replies that are not the attempt's own, by the reason they are counted under. */
const FOREIGN_REPLIES: Readonly<Record<string, (draft: ReplyDraft) => void>> = {
  foreign_request: ({ headers }) => void (headers[BackendHeader.RequestId] = 'another'),
  foreign_attempt: ({ headers }) => void (headers[BackendHeader.AttemptId] = 'an-earlier-one'),
  foreign_service: ({ headers }) => void (headers[BackendHeader.Service] = 'receipt-desk'),
  foreign_shard: ({ headers }) => void (headers[BackendHeader.ShardId] = 'shard-1'),
  foreign_snapshot: ({ headers }) => void (headers[BackendHeader.Snapshot] = '1.2'),
  missing_echo: ({ headers }) => void delete headers[BackendHeader.AttemptId],
  unknown_disposition: ({ headers }) => void (headers[BackendHeader.Disposition] = 'done'),
  malformed_body: (draft) => void (draft.body = draft.body.slice(0, -1)),
  truncated: (draft) => void (draft.error = new HttpClientError('response_truncated', true, 'b')),
  too_large: (draft) => void (draft.error = new HttpClientError('response_too_large', true, 'b')),
};

const FOREIGN_RESULT = 'foreign result';

async function startWithForeignReply(
  tamper: (draft: ReplyDraft) => void,
  faults = {},
): Promise<RouterHarness> {
  const harness = await RouterHarness.start({ shards: 1, replicas: 1, faults });
  const backend = harness.backend('s0-r0');
  backend.tamper = (draft) => {
    if (backend.attempts.length > 1) return;
    draft.body = JSON.stringify(FOREIGN_RESULT);
    tamper(draft);
  };
  return harness;
}

async function droppedReplies(harness: RouterHarness): Promise<Record<string, number>> {
  const metric = await harness.metrics
    .getSingleMetric('driftway_router_dropped_replies_total')
    ?.get();
  const values = metric?.values ?? [];
  return Object.fromEntries(values.map(({ labels, value }) => [String(labels['reason']), value]));
}

describe('reply matching', () => {
  for (const [reason, tamper] of Object.entries(FOREIGN_REPLIES)) {
    it(`counts and drops a reply for ${reason}, and never merges it`, async () => {
      const harness = await startWithForeignReply(tamper);
      const reply = await harness.query();
      expect(reply.status).toBe(200);
      expect(JSON.stringify(reply.answer.results)).not.toContain(FOREIGN_RESULT);
      expect(await droppedReplies(harness)).toEqual({ [reason]: 1 });
    });

    it(`takes a reply dropped for ${reason} as one that may have been run`, async () => {
      const harness = await startWithForeignReply(tamper);
      const { status, error } = await harness.query({ repeatable: false });
      expect(status).toBe(504);
      expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
      expect(harness.backend('s0-r0').attempts).toHaveLength(1);
    });
  }

  it('does not believe a not-started mark that belongs to another attempt', async () => {
    const harness = await startWithForeignReply((draft) => {
      draft.headers[BackendHeader.AttemptId] = 'an-earlier-one';
      draft.headers[BackendHeader.Disposition] = 'not_started';
    });
    const { error } = await harness.query({ repeatable: false });
    expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
  });

  it('is seen to be broken when replies are not matched', async () => {
    const tamper = FOREIGN_REPLIES['foreign_attempt'] ?? (() => undefined);
    const harness = await startWithForeignReply(tamper, { skipReplyMatching: true });
    const { answer } = await harness.query();
    expect(JSON.stringify(answer.results)).toContain(FOREIGN_RESULT);
  });
});
