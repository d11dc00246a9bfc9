import { beforeEach, describe, expect, it } from 'vitest';
import type { ChangeResult } from '../../src/administration/response-schemas.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorError, OperatorExitCode } from '../../src/operator/operator-error.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import {
  BOOTSTRAP_TOKEN,
  createControllers,
  type TestController,
} from '../administration/controllers.js';
import { change, DOHOKU, setting } from '../settings/fixtures.js';
import { FaultyNetwork, type ConnectionFault } from './faulty-network.js';

const FIRST = '10.0.0.1:1';
const SECOND = '10.0.0.2:1';
const REQUEST = change('change-001', 1, [setting('defaults', 'queueLimit', 5)]);

let controllers: TestController[];
let network: FaultyNetwork;

beforeEach(async () => {
  controllers = createControllers(2);
  network = new FaultyNetwork(controllers);
  await controllers[0]?.change(change('change-000', 0, DOHOKU));
});

function createClient(token = BOOTSTRAP_TOKEN): OperatorClient {
  return new OperatorClient(network, network.clock, {
    controllers: network.addresses,
    token,
    attemptTimeoutMs: 1_000,
    totalTimeoutMs: 3_000,
  });
}

async function failureOf(promise: Promise<unknown>): Promise<OperatorError> {
  const error: unknown = await promise.then(
    () => undefined,
    (cause: unknown) => cause,
  );
  if (error instanceof OperatorError) return error;
  throw new Error('an OperatorError was expected', { cause: error });
}

/** Has a controller turn down whatever it is asked. */
function answerAt(controller: TestController | undefined, status: number, code: string): void {
  if (controller === undefined) throw new Error('no such controller');
  const body = { error: { code, message: 'x', step: 'test', changed: 'no' } };
  controller.call = (async () => ({
    status,
    headers: {},
    body,
  })) as unknown as typeof controller.call;
}

async function revision(): Promise<number | undefined> {
  const reply = await controllers[1]?.call<ConfigurationState>('GET', '/v1/configuration');
  return reply?.body.revision;
}

describe('OperatorClient', () => {
  it.each<ConnectionFault>(['lost_after_run', 'silent_after_run'])(
    'gets the first result of a change whose answer was lost (%s)',
    async (fault) => {
      network.faults.set(FIRST, fault);
      const result = await createClient().post<ChangeResult>('/v1/changes', REQUEST);
      expect(result).toMatchObject({ revision: 2, repeated: true });
      expect(network.asked).toEqual([FIRST, SECOND]);
      expect(await revision()).toBe(2);
    },
  );

  it.each<ConnectionFault>(['refused', 'lost_before_run'])(
    'has a change made at another controller when it never reached one (%s)',
    async (fault) => {
      network.faults.set(FIRST, fault);
      const result = await createClient().post<ChangeResult>('/v1/changes', REQUEST);
      expect(result).toMatchObject({ revision: 2, repeated: false });
    },
  );

  it('asks again when no controller has a quorum yet', async () => {
    const log = controllers[1]?.log;
    if (log === undefined) throw new Error('no second controller');
    log.nextFault = 'not_proposed';
    network.faults.set(FIRST, 'refused');
    const result = await createClient().post<ChangeResult>('/v1/changes', REQUEST);
    expect(result.revision).toBe(2);
    expect(network.asked).toEqual([FIRST, SECOND, FIRST, SECOND]);
  });

  it('reports what a controller said rather than that another cannot be reached', async () => {
    const log = controllers[0]?.log;
    if (log === undefined) throw new Error('no first controller');
    log.hasQuorum = false;
    network.faults.set(SECOND, 'refused');
    const error = await failureOf(createClient().post('/v1/changes', REQUEST));
    expect(error.error).toMatchObject({ code: 'unavailable', message: 'propose: no leader' });
    expect(error.peer).toBe(FIRST);
  });

  it('says that nothing was changed only when no attempt can have changed anything', async () => {
    network.faults.set(FIRST, 'refused').set(SECOND, 'refused');
    const refused = await failureOf(createClient().post('/v1/changes', REQUEST));
    expect(refused.error.changed).toBe('no');
    expect(refused.exitCode).toBe(OperatorExitCode.Unavailable);

    network.faults.set(FIRST, 'lost_after_run');
    const lost = await failureOf(createClient().post('/v1/changes', REQUEST));
    expect(lost.error.changed).toBe('unknown');
    expect(lost.exitCode).toBe(OperatorExitCode.OutcomeUnknown);
    expect(await revision()).toBe(2);
  });

  it('still calls the outcome unknown when another controller turns the resend away', async () => {
    network.faults.set(FIRST, 'lost_after_run');
    answerAt(controllers[1], 401, 'unauthorized');
    const error = await failureOf(createClient().post('/v1/changes', REQUEST));
    expect(error.exitCode).toBe(OperatorExitCode.OutcomeUnknown);
  });

  it('never calls a dry run unknown, and no refusal of an unnamed request a verdict', async () => {
    network.faults.set(FIRST, 'lost_after_run').set(SECOND, 'refused');
    const dryRun = createClient().send({
      method: 'POST',
      target: '/v1/changes?dryRun=true',
      body: REQUEST,
      resendable: true,
      changesNothing: true,
    });
    const error = await failureOf(dryRun);
    expect(error.exitCode).toBe(OperatorExitCode.Unavailable);
    network.faults.delete(SECOND);
    answerAt(controllers[1], 422, 'rejected');
    const body = { action: 'remove', memberId: 'controller-1' };
    const request = { method: 'POST', target: '/v1/members', body, resendable: true } as const;
    const lost = await failureOf(createClient().send(request));
    expect(lost.exitCode).toBe(OperatorExitCode.OutcomeUnknown);
  });

  it('reports a conflict as settled even when an earlier attempt was lost', async () => {
    const other = change('change-002', 1, [setting('defaults', 'queueLimit', 6)]);
    await controllers[1]?.change(other);
    network.faults.set(FIRST, 'lost_after_run');
    const error = await failureOf(createClient().post('/v1/changes', REQUEST));
    expect(error.exitCode).toBe(OperatorExitCode.Conflict);
    expect(error.error.conflict?.currentRevision).toBe(2);
  });

  it('never sends a request without a change id twice when it may have run', async () => {
    network.faults.set(FIRST, 'lost_before_run');
    const request = { method: 'POST', target: '/v1/members', body: {}, resendable: false } as const;
    const error = await failureOf(createClient().send(request));
    expect(error.exitCode).toBe(OperatorExitCode.OutcomeUnknown);
    expect(network.asked).toEqual([FIRST]);
  });

  it('does not bother the other controllers with a request that is wrong', async () => {
    const error = await failureOf(createClient('wrong').post('/v1/changes', REQUEST));
    expect(error.exitCode).toBe(OperatorExitCode.Refused);
    expect(network.asked).toEqual([FIRST]);
  });
});
