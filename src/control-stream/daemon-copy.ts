/**
 * What a daemon knows, whichever controller told it: the configuration in
 * force, how far it is proven, and signs of replicas. Sessions come and go; this
 * stays.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { supersedes, type ReplicaSign } from '../model/replica-sign.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import type { ClientMetrics } from './client-metrics.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import { FreshnessProof } from './freshness-proof.js';
import { HeldConfiguration, type DeltaOutcome, type ReceivedDelta } from './held-configuration.js';
import type { AssembledSnapshot } from './snapshot-assembler.js';
import { VersionedTable } from './versioned-table.js';

/** Most replicas whose signs are remembered. */
export const MAXIMUM_SIGNS = 100_000;

/** Shared by all sessions of one daemon. */
export class DaemonCopy {
  readonly proof = new FreshnessProof();
  readonly revisions: Stream<ConfigurationState>;
  readonly replicaSigns: Stream<ReplicaSign>;
  /** Signs that this daemon observed itself. */
  readonly observedSigns = new VersionedTable<ReplicaSign>(MAXIMUM_SIGNS);
  readonly held: HeldConfiguration;
  private readonly knownSigns = new VersionedTable<ReplicaSign>(MAXIMUM_SIGNS);
  private readonly emitRevision: (state: ConfigurationState) => void;
  private readonly emitSign: (sign: ReplicaSign) => void;

  constructor(
    private readonly faults: ControlStreamFaults,
    private readonly metrics: ClientMetrics,
  ) {
    this.held = new HeldConfiguration(faults);
    [this.emitRevision, this.revisions] = createAdapter<ConfigurationState>();
    [this.emitSign, this.replicaSigns] = createAdapter<ReplicaSign>();
  }

  /** Returns whether the snapshot could be read. */
  takeSnapshot({ state, stateHash }: AssembledSnapshot): boolean {
    const outcome = this.held.offerSnapshot(state, stateHash);
    if (outcome === 'lower') this.metrics.lowerRevisionsIgnored.inc();
    if (outcome === 'applied' || outcome === 'divergence_replaced') this.announce();
    return outcome !== 'unreadable';
  }

  takeDelta(delta: ReceivedDelta): DeltaOutcome {
    const outcome = this.held.offerDelta(delta);
    if (outcome === 'applied') this.announce();
    return outcome;
  }

  /** A sign that another daemon or the platform gave. */
  takeSign(sign: ReplicaSign): void {
    const known = this.knownSigns.get(sign.replicaId);
    if (!this.isNews(sign, known)) return;
    this.knownSigns.put(sign.replicaId, sign);
    this.emitSign(sign);
  }

  /** A sign that this daemon saw; returns whether it is news. */
  observeSign(sign: ReplicaSign): boolean {
    const known = this.observedSigns.get(sign.replicaId);
    if (!this.isNews(sign, known)) return false;
    this.observedSigns.put(sign.replicaId, sign);
    return true;
  }

  private isNews(sign: ReplicaSign, known: ReplicaSign | undefined): boolean {
    if (known === undefined || this.faults.acceptOlderSigns === true) return true;
    return supersedes(sign, known);
  }

  private announce(): void {
    const state = this.held.current();
    if (state === undefined) return;
    this.metrics.revision.set(state.revision);
    this.proof.noteCommitted(state.revision);
    this.emitRevision(state);
  }
}
