import { describe, expect, it } from 'vitest';
import type { ChangeResult } from '../../src/administration/response-schemas.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorError, OperatorExitCode } from '../../src/operator/operator-error.js';
import type { ChangeRequest } from '../../src/settings/change.js';
import { change, setting } from '../settings/fixtures.js';
import { ControllerGroup, ELECTION_MS, HTTP_PORT, TOKEN, ZONES } from './controller-group.js';

const TOTAL_TIMEOUT_MS = 60_000;
const ATTEMPT_TIMEOUT_MS = 2_000;
/** After this long a request has reached its controller, and no response has been sent. */
const REQUEST_RECEIVED_MS = 4;

/** Sends a change to the controllers in `order`, by index, until one responds. */
function send(
  group: ControllerGroup,
  order: readonly number[],
  body: ChangeRequest,
  totalTimeoutMs = TOTAL_TIMEOUT_MS,
): Promise<ChangeResult> {
  const { network, clock } = group.operator.environment;
  const client = new OperatorClient(network, clock, {
    controllers: order.map((index) => ({ host: group.hostAt(index).host, port: HTTP_PORT })),
    token: TOKEN,
    attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
    totalTimeoutMs,
  });
  return client.post<ChangeResult>('/v1/changes', body);
}

/** Indexes of all controllers, beginning with `first`. */
function startingAt(first: number): number[] {
  return ZONES.map((_, index) => (first + index) % ZONES.length);
}

function request(name: string, baseRevision: number, value: number): ChangeRequest {
  return change(`change-${name}`, baseRevision, [setting('defaults', 'queueLimit', value)]);
}

async function restart(group: ControllerGroup, index: number): Promise<void> {
  group.hostAt(index).restart({ keepDisk: true });
  await group.startController(index);
}

/** Resolves to the error that a promise rejects with; undefined when it resolves. */
function rejectionOf(promise: Promise<unknown>): Promise<unknown> {
  return promise.then(
    () => undefined,
    (error: unknown) => error,
  );
}

describe('a resent change', () => {
  it('gets the original result after a lost response, a new leader and a full restart', async () => {
    const group = await ControllerGroup.start();
    const { simulation } = group;
    const leader = await group.leaderIndex();
    const other = (leader + 1) % ZONES.length;
    const body = request('lost', 0, 5);
    const lost = rejectionOf(send(group, [leader], body, ATTEMPT_TIMEOUT_MS));
    await simulation.runFor(REQUEST_RECEIVED_MS);
    simulation.cut({ from: { machine: group.hostAt(leader).name }, to: { machine: 'operator' } });
    const error = await simulation.settle(lost);
    expect(error).toMatchObject({ exitCode: OperatorExitCode.OutcomeUnknown });
    group.hostAt(leader).restart({ keepDisk: true });
    await simulation.runFor(ELECTION_MS);
    simulation.healAll();
    const again = await simulation.settle(send(group, startingAt(other), body));
    expect(again).toMatchObject({ revision: 1, repeated: true });
    await simulation.settle(send(group, startingAt(other), request('next', 1, 6)));
    for (const index of ZONES.keys()) await restart(group, index);
    await simulation.runFor(ELECTION_MS);
    for (const index of ZONES.keys()) {
      const result = await simulation.settle(send(group, startingAt(index), body));
      expect(result).toEqual(again);
    }
    expect(await group.status(other)).toMatchObject({ revision: 2 });
  });

  it.each([0, 2, 4, 6, 8, 10, 12, 20])(
    'has one final outcome in a race when the leader is killed after %i ms',
    async (killAfterMs) => {
      const group = await ControllerGroup.start();
      const { simulation } = group;
      const leader = await group.leaderIndex();
      const bodies = [request('left', 0, 5), request('right', 0, 6)];
      const race = Promise.all(
        bodies.map((body, index) =>
          send(group, startingAt(leader + index), body).catch((error: unknown) => error),
        ),
      );
      await simulation.runFor(killAfterMs);
      await restart(group, leader);
      const results = await simulation.settle(race);
      const winner = results.findIndex((result) => !(result instanceof OperatorError));
      expect(results[winner]).toMatchObject({ revision: 1 });
      const loser = results[1 - winner] as OperatorError;
      expect(loser.error).toMatchObject({
        code: 'conflict',
        changed: 'no',
        conflict: {
          current: [{ path: 'overrides.defaults.queueLimit', value: 5 + winner }],
          changesSinceBase: [{ changeId: bodies[winner]?.changeId }],
        },
      });
    },
  );
});
