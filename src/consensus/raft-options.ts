/** What a member is started with. */
import type { Registry } from 'prom-client';
import type { Logger } from '../observability/logger.js';
import type { Address } from '../seams/address.js';
import type { MemberEndpoint } from './member-endpoint.js';
import type { Dial } from './peer-link.js';
import type { RaftFaults } from './raft-faults.js';
import type { RaftLimits, RaftTimings } from './raft-timings.js';
import type { StateMachine } from './replicated-log.js';

/** Options of one member. */
export interface RaftOptions {
  readonly clusterId: string;
  /** Unique in the group, and never used again after its disk was lost. */
  readonly memberId: string;
  /** Where other members reach this one. */
  readonly address: Address;
  /** Voters of a new group, this one included; ignored once the data folder has a history. */
  readonly initialMembers: readonly MemberEndpoint[];
  /** Wait as a learner until an operator adds this member to a running group. */
  readonly join: boolean;
  readonly stateMachine: StateMachine;
  /** Stop with a `MemberRetiredError` once the group says that it removed this member. */
  readonly stopWhenRetired?: boolean;
  /** Opens a connection to another member, handshake included. */
  readonly dial: Dial;
  /** Replaces single defaults of {@link RaftTimings}. */
  readonly timings?: Partial<RaftTimings>;
  /** Replaces single defaults of {@link RaftLimits}. */
  readonly limits?: Partial<RaftLimits>;
  /** Lab only; see {@link RaftFaults}. */
  readonly faults?: RaftFaults;
}

/** Where a member reports. */
export interface RaftTelemetry {
  readonly logger: Logger;
  readonly registry: Registry;
}
