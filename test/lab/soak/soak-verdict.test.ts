import { describe, expect, it } from 'vitest';
import { ExchangeReplica } from '../../../lab/exchange/exchange-replica.js';
import { Simulation } from '../../../lab/simulation/simulation.js';
import type { CallKind, SoakCall } from '../../../lab/soak/soak-callers.js';
import type { SoakDaemon } from '../../../lab/soak/soak-daemon.js';
import type { SoakReplica } from '../../../lab/soak/soak-fleet.js';
import { REPLICA_CONTENT } from '../../../lab/soak/soak-routes.js';
import { judgeSoak, type SoakEvidence } from '../../../lab/soak/soak-verdict.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../../src/gateway/exchange-headers.js';

const { apiKey, missingParts, partSignatures, signature, tenant } = DEFAULT_EXCHANGE_HEADERS;
const TENANT = 'harbour';

function callOf(kind: CallKind, changes: Partial<SoakCall> = {}): SoakCall {
  return {
    requestId: 'call-1',
    kind,
    gateway: { name: 'gateway-0' } as SoakDaemon,
    tenant: TENANT,
    keyHeldUntil: 2,
    sentAt: 10_000,
    wasStopping: false,
    wasKilled: false,
    answer: { status: 200, headers: { [signature]: 'replica-1.call-1' }, body: REPLICA_CONTENT },
    ...changes,
  };
}

/** A replica that ran `call-1` with these headers, each at 10 s. */
function replicaOf(...runs: Record<string, string>[]): SoakReplica {
  const simulation = new Simulation(1);
  const machine = simulation.createMachine('replica', 'zone-a');
  const replica = new ExchangeReplica(machine.environment, {
    replicaId: 'replica-1',
    service: 'ledger',
    address: { host: '127.0.0.1', port: 1 },
    zone: 'zone-a',
    controllers: [],
  });
  for (const headers of runs) {
    const run = { requestId: 'call-1', method: 'GET', target: '/', body: '', deadlineMs: 1 };
    replica.runs.push({ ...run, headers, at: 10_000 });
  }
  return { replica, proxy: undefined as never, leftAt: undefined, claimedAt: undefined };
}

const OWN_RUN = { [tenant]: TENANT };

function judge(call: SoakCall, changes: Partial<SoakEvidence> = {}): string[] {
  const acknowledged = [{ version: 1, at: 0 }];
  const evidence = { calls: [call], replicas: [replicaOf(OWN_RUN)], acknowledged, readBack: [1] };
  const none = { contradictions: [], failedStops: [], unexpectedEnds: [], endedAt: 40_000 };
  const headers = DEFAULT_EXCHANGE_HEADERS;
  return judgeSoak({ ...evidence, ...none, headers, ...changes }, true);
}

describe('judgeSoak', () => {
  it('finds nothing in a sound run', () => {
    expect(judge(callOf('repeatable'))).toEqual([]);
  });

  it('finds a request that ran and was cut off, but not by a kill', () => {
    expect(judge(callOf('repeatable', { answer: undefined }))).toHaveLength(1);
    expect(judge(callOf('repeatable', { answer: undefined, wasStopping: true }))).toHaveLength(1);
    expect(judge(callOf('repeatable', { answer: undefined, wasKilled: true }))).toEqual([]);
  });

  it("finds another request's answer", () => {
    const headers = { [signature]: 'replica-1.call-2' };
    const answer = { status: 200, headers, body: REPLICA_CONTENT };
    expect(judge(callOf('repeatable', { answer }))).toHaveLength(1);
  });

  it('finds coverage that is not as stated', () => {
    const headers = { [partSignatures]: 'replica-1.call-1, replica-2.call-1', [missingParts]: '1' };
    const answer = { status: 200, headers, body: REPLICA_CONTENT };
    expect(judge(callOf('fanOut', { answer }))).toHaveLength(1);
  });

  it('finds a success with an empty or a short body', () => {
    const headers = { [signature]: 'replica-1.call-1' };
    for (const body of ['', REPLICA_CONTENT.slice(1)]) {
      expect(judge(callOf('repeatable', { answer: { status: 200, headers, body } }))).toHaveLength(
        1,
      );
    }
  });

  it('finds a run of what was said not to have run', () => {
    const answer = { status: 503, headers: {}, body: '' };
    expect(judge(callOf('repeatable', { answer }))).toHaveLength(1);
  });

  it('finds a second run of what may run once', () => {
    const replicas = [replicaOf(OWN_RUN, OWN_RUN)];
    expect(judge(callOf('atMostOnce'), { replicas })).toHaveLength(1);
    expect(judge(callOf('slow'), { replicas })).toHaveLength(1);
  });

  it('finds a key that a replica was shown, and another tenant', () => {
    const shown = [replicaOf({ ...OWN_RUN, [apiKey]: 'secret' })];
    expect(judge(callOf('repeatable'), { replicas: shown })).toHaveLength(1);
    const foreign = [replicaOf({ [tenant]: 'valley' })];
    expect(judge(callOf('repeatable'), { replicas: foreign })).toHaveLength(1);
  });

  it('finds a key that ran too long after it was taken away', () => {
    const acknowledged = [1, 2, 3].map((version) => ({ version, at: version * 1_000 }));
    const changes = { acknowledged, readBack: [3] };
    expect(judge(callOf('repeatable', { sentAt: 7_900 }), changes)).toEqual([]);
    expect(judge(callOf('repeatable', { sentAt: 8_100 }), changes)).toHaveLength(1);
  });

  it('finds work for a replica that had left', () => {
    const replicas = [{ ...replicaOf(OWN_RUN), leftAt: 5_000 }];
    expect(judge(callOf('repeatable'), { replicas })).toHaveLength(1);
  });

  it('finds a replica that a crashed one at its address kept from requests', () => {
    const judgeAt = (claimedAt: number): string[] => {
      const replicas = [{ ...replicaOf(OWN_RUN), claimedAt }];
      return judge(callOf('repeatable'), { replicas });
    };
    // It ran its request at 10 s, and the load ended at 40 s.
    expect(judgeAt(1_000)).toEqual([]);
    expect(judgeAt(10_000)).toHaveLength(1);
    expect(judgeAt(35_000)).toEqual([]);
  });

  it('finds a process that ended by itself', () => {
    const unexpectedEnds = ['gateway-0 ended with exit code 1'];
    expect(judge(callOf('repeatable'), { unexpectedEnds })).toEqual(unexpectedEnds);
  });

  it('finds an order that does not hold', () => {
    const contradictions = ['pnw-c was evacuated by order 3, which does not hold'];
    expect(judge(callOf('repeatable'), { contradictions })).toEqual(contradictions);
  });

  it('finds an older version at the end, and a stop that failed', () => {
    expect(judge(callOf('repeatable'), { readBack: [0] })).toHaveLength(1);
    expect(judge(callOf('repeatable'), { failedStops: ['gateway-0'] })).toHaveLength(1);
  });
});
