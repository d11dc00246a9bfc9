/** The configuration of one early user in small, and commands over it. */
import type { ReplicaDefinition } from '../../src/model/service-definition.js';
import type { ChangeRequest, Operation } from '../../src/settings/change.js';
import { encodeCommand } from '../../src/settings/configuration-command.js';
import type { RecordedOutcome } from '../../src/settings/change-outcome.js';
import {
  decodeOutcome,
  type ConfigurationStateMachine,
} from '../../src/settings/configuration-state-machine.js';
import type { Principal } from '../../src/settings/principal.js';

export const BOOTSTRAP: Principal = { kind: 'bootstrap' };

export function replica(number: number, zone = 'nayoro'): ReplicaDefinition {
  const address = `127.0.0.1:${7_500 + number}`;
  return { replicaId: `r${number}`, address, zone, slots: 5, connections: 70 };
}

/** A region with two zones and one service of two shards with a replica each. */
export const DOHOKU: readonly Operation[] = [
  { type: 'createRegion', region: 'dohoku', zones: ['nayoro', 'wakkanai'] },
  {
    type: 'createService',
    service: {
      name: 'kifu-audit',
      kind: 'sharded',
      region: 'dohoku',
      layouts: [
        {
          layoutEpoch: 1,
          shards: [
            { shardId: 's0', replicas: [replica(0)] },
            { shardId: 's1', replicas: [replica(1, 'wakkanai')] },
          ],
        },
      ],
    },
  },
];

export function setting(scope: string, key: string, value: number | string): Operation {
  return { type: 'set', scope, key, value } as Operation;
}

export function change(
  changeId: string,
  baseRevision: number,
  operations: readonly Operation[],
): ChangeRequest {
  return { changeId, baseRevision, author: 'sato', reason: 'test', operations: [...operations] };
}

/** Applies one change command as the log would. */
export function applyChange(
  machine: ConfigurationStateMachine,
  request: ChangeRequest,
  principal: Principal = BOOTSTRAP,
  at = 1_000,
): RecordedOutcome {
  return decodeOutcome(machine.apply(encodeCommand({ kind: 'change', principal, at, request }), 1));
}
