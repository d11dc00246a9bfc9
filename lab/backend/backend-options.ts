/** What a stand-in back end is made of. Durations in milliseconds. */
import type { Snapshot } from '../../src/model/snapshot.js';
import type { Address } from '../../src/seams/address.js';
import type { BackendLedger } from '../ledger/backend-ledger.js';
import type { BackendRequest } from './backend-request.js';
import type { ServiceTimeModel } from './service-time.js';

/** A replica that has just started works slower until it is warm. */
export interface ColdStart {
  /** Slowdown at the first request; falls linearly to 1. */
  readonly factor: number;
  readonly duration: number;
}

/** How the report differs from the truth. */
export interface ReportDistortion {
  /** The report tells the state of this long ago. Milliseconds. */
  readonly lag: number;
  /** Load to tell instead of the real one, in the report and in replies. */
  readonly claimedLoad?: number;
  /** Conceals that the back end is draining, in the report only. */
  readonly hideDraining?: boolean;
}

/** Settings of one stand-in replica. */
export interface BackendOptions {
  readonly address: Address;
  readonly replicaId: string;
  readonly service: string;
  /** Shards it holds of the first snapshot. */
  readonly shardIds: readonly string[];
  readonly snapshot: Snapshot;
  /** Snapshots it keeps. */
  readonly keptSnapshots: number;
  readonly slots: number;
  readonly connections: number;
  readonly queueLimit: number;
  readonly serviceTime: ServiceTimeModel;
  /** Replaces the draw from {@link serviceTime}. Milliseconds. */
  readonly workingTime?: (request: BackendRequest) => number;
  readonly coldStart?: ColdStart;
  /** Added to each request and again to each reply. Milliseconds. */
  readonly oneWayLatency: number;
  /** Added to the first request of each connection. Milliseconds. */
  readonly connectionCost: number;
  readonly report: ReportDistortion;
  /** Shared by the back ends of a process. */
  readonly ledger: BackendLedger;
}

/** Everything but the identity of a replica; used where a caller names nothing else. */
export const DEFAULT_BACKEND_OPTIONS = {
  snapshot: { layoutEpoch: 1, indexVersion: 1 },
  keptSnapshots: 3,
  slots: 4,
  connections: 100,
  queueLimit: 32,
  serviceTime: {
    distribution: { kind: 'lognormal', median: 5, sigma: 0.4 },
    stragglers: { share: 0, minimumFactor: 10, maximumFactor: 50 },
  },
  oneWayLatency: 0,
  connectionCost: 0,
  report: { lag: 0 },
} as const satisfies Partial<BackendOptions>;
