/** Chooses which replica of a shard gets an attempt. */
import type { ReplicaDefinition } from '../model/service-definition.js';

/** What the router itself has observed of one replica. */
export interface ReplicaView {
  readonly replica: ReplicaDefinition;
  /** Attempts of this router that have not ended. */
  readonly inFlight: number;
  /** Latency of recent attempts, smoothed; undefined before the first. Milliseconds. */
  readonly smoothedLatency: number | undefined;
  /** Share of recent attempts that failed, 0 to 1. */
  readonly failureRate: number;
  /** Load it last reported and how long ago; it lags, and it may lie. */
  readonly reportedLoad: { readonly load: number; readonly age: number } | undefined;
  /** Time since it was first seen live in this incarnation. Milliseconds. */
  readonly age: number;
}

/** One way of choosing. Keeps its own state; used for one service. */
export interface ReplicaSelector {
  /**
   * Picks one of `candidates`, which all may take the attempt: live, holding
   * the snapshot, with a free connection. Undefined only when there is none.
   */
  select(candidates: readonly ReplicaView[]): ReplicaView | undefined;
}
