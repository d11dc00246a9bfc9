/** Counters and gauges of agreement. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** All metrics of one member. */
export class ConsensusMetrics {
  readonly elections: Counter;
  readonly leadershipsWon: Counter;
  readonly leadershipsLost: Counter<'reason'>;
  readonly proposals: Counter<'outcome'>;
  readonly recordsWritten: Counter;
  readonly logSyncs: Counter;
  readonly snapshotsTaken: Counter;
  readonly snapshotsInstalled: Counter;
  readonly malformedMessages: Counter;
  readonly refusedPeers: Counter<'reason'>;
  readonly failedRequests: Counter<'exchange'>;
  readonly term: Gauge;
  readonly commitIndex: Gauge;
  readonly appliedIndex: Gauge;
  readonly logBytes: Gauge;
  readonly snapshotBytes: Gauge;

  constructor(registry: Registry) {
    const registers = [registry];
    const name = (suffix: string): string => `driftway_consensus_${suffix}`;
    this.elections = new Counter({
      name: name('elections_total'),
      help: 'Elections in which this member stood',
      registers,
    });
    this.leadershipsWon = new Counter({
      name: name('leaderships_won_total'),
      help: 'Elections this member won',
      registers,
    });
    this.leadershipsLost = new Counter({
      name: name('leaderships_lost_total'),
      help: 'Times this member ceased to lead',
      labelNames: ['reason'],
      registers,
    });
    this.proposals = new Counter({
      name: name('proposals_total'),
      help: 'Proposals made here, by outcome',
      labelNames: ['outcome'],
      registers,
    });
    this.recordsWritten = new Counter({
      name: name('records_written_total'),
      help: 'Records written to the durable log',
      registers,
    });
    this.logSyncs = new Counter({
      name: name('log_syncs_total'),
      help: 'Syncs of the durable log, one for each batch of records',
      registers,
    });
    this.snapshotsTaken = new Counter({
      name: name('snapshots_taken_total'),
      help: 'Snapshots of the state machine written',
      registers,
    });
    this.snapshotsInstalled = new Counter({
      name: name('snapshots_installed_total'),
      help: 'Snapshots taken over from a leader',
      registers,
    });
    this.malformedMessages = new Counter({
      name: name('malformed_messages_total'),
      help: 'Frames that closed their connection because they were no message',
      registers,
    });
    this.refusedPeers = new Counter({
      name: name('refused_peers_total'),
      help: 'Connections of members turned away',
      labelNames: ['reason'],
      registers,
    });
    this.failedRequests = new Counter({
      name: name('failed_requests_total'),
      help: 'Requests to other members that brought no answer',
      labelNames: ['exchange'],
      registers,
    });
    this.term = new Gauge({ name: name('term'), help: 'Current term', registers });
    this.commitIndex = new Gauge({
      name: name('commit_index'),
      help: 'Last record known to be committed',
      registers,
    });
    this.appliedIndex = new Gauge({
      name: name('applied_index'),
      help: 'Last record applied to the state machine',
      registers,
    });
    this.logBytes = new Gauge({
      name: name('log_bytes'),
      help: 'Size of the durable log on the disk',
      registers,
    });
    this.snapshotBytes = new Gauge({
      name: name('snapshot_bytes'),
      help: 'Size of the newest snapshot; two are on the disk while one replaces the other',
      registers,
    });
  }
}
