/** Selects the replica of a shard to which an attempt is sent. */
import type { ReplicaDefinition } from '../model/service-definition.js';

/** What this router knows of one replica. */
export interface ReplicaView {
  readonly replica: ReplicaDefinition;
  /** Attempts of this router in flight on the replica. */
  readonly inFlight: number;
  /** Moving average of recent attempts' latency; undefined before the first. Milliseconds. */
  readonly smoothedLatency: number | undefined;
  /** Share of recent attempts that failed, 0 to 1. */
  readonly failureRate: number;
  /** Load that the replica last reported, and the report's age in milliseconds; may be stale or wrong. */
  readonly reportedLoad: { readonly load: number; readonly age: number } | undefined;
  /** Time since the router first saw this incarnation of the replica live. Milliseconds. */
  readonly age: number;
}

/** One instance per service; it may keep state between calls. */
export interface ReplicaSelector {
  /**
   * Selects one of `candidates`. Every candidate is live, holds the snapshot and has
   * a free connection. Undefined only when `candidates` is empty.
   */
  select(candidates: readonly ReplicaView[]): ReplicaView | undefined;
}
