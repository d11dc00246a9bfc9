/** Counters of the administration API, and what a controller knows of the cluster. */
import { Counter, Gauge } from 'prom-client';
import { DAEMON_LEASE_MS } from '../control-stream/daemon-directory.js';
import type { AdministrationDependencies } from './administration-dependencies.js';
import type { DaemonRevision } from './force-tracker.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** How a daemon stands to the newest revision. */
type DaemonState = 'in_force' | 'late' | 'silent';

function stateOf({ revision, silentMs = 0 }: DaemonRevision, newest: number): DaemonState {
  if (silentMs > DAEMON_LEASE_MS) return 'silent';
  return revision >= newest ? 'in_force' : 'late';
}

/** Counts requests; the gauges are read when they are asked for. */
export class AdministrationMetrics {
  private readonly requests: Counter<'operation' | 'result'>;

  constructor(private readonly dependencies: AdministrationDependencies) {
    const registers = [dependencies.registry];
    this.requests = new Counter({
      name: 'driftway_administration_requests_total',
      help: 'Requests of operators, by operation and by ok or error code.',
      labelNames: ['operation', 'result'],
      registers,
    });
    const readRevision = (): number => dependencies.machine.current().revision;
    const readQuorumAge = (): number =>
      dependencies.log.status().sinceQuorumMs / MILLISECONDS_PER_SECOND;
    const readDaemons = (): [DaemonState, number][] => this.countDaemons();
    new Gauge({
      name: 'driftway_configuration_revision',
      help: 'Newest accepted revision that this controller has applied.',
      registers,
      collect() {
        this.set(readRevision());
      },
    });
    new Gauge({
      name: 'driftway_quorum_age_seconds',
      help: 'Since this controller last heard a quorum, directly or from the leader.',
      registers,
      collect() {
        this.set(readQuorumAge());
      },
    });
    new Gauge<'state'>({
      name: 'driftway_daemons',
      help: 'Known daemons: in_force at the newest revision, late, or silent past their lease.',
      labelNames: ['state'],
      registers,
      collect() {
        for (const [state, count] of readDaemons()) this.set({ state }, count);
      },
    });
  }

  count(operation: string, result: string): void {
    this.requests.inc({ operation, result });
  }

  private countDaemons(): [DaemonState, number][] {
    const { machine, forces } = this.dependencies;
    const { revision } = machine.current();
    const counts = new Map<DaemonState, number>([
      ['in_force', 0],
      ['late', 0],
      ['silent', 0],
    ]);
    for (const daemon of forces?.inForce(revision).daemons ?? []) {
      const state = stateOf(daemon, revision);
      counts.set(state, (counts.get(state) ?? 0) + 1);
    }
    return [...counts];
  }
}
