/** Writes the data folders of members that are in the middle of a history. */
import { Membership } from '../../../src/consensus/membership.js';
import { MemberStorage } from '../../../src/consensus/member-storage.js';
import { DEFAULT_RAFT_LIMITS } from '../../../src/consensus/raft-timings.js';
import { LogRecordKind } from '../../../src/storage/log-record.js';
import { CLUSTER_ID, type RaftCluster } from './raft-cluster.js';

const LIMITS = { ...DEFAULT_RAFT_LIMITS, segmentBytes: 1_000_000 };

/** One record: its term and command, or a leader's opening record. */
export interface PreparedRecord {
  readonly term: number;
  readonly command?: string;
}

/** Gives a member a log and a term. */
export function prepareDisk(
  cluster: RaftCluster,
  id: string,
  term: number,
  records: readonly PreparedRecord[],
): Promise<void> {
  return cluster.simulation.settle(writeDisk(cluster, id, term, records));
}

async function writeDisk(
  cluster: RaftCluster,
  id: string,
  term: number,
  records: readonly PreparedRecord[],
): Promise<void> {
  const { disk } = cluster.member(id).machine.environment;
  const identity = { clusterId: CLUSTER_ID, memberId: id, newIncarnation: `disk-${id}` };
  const storage = await MemberStorage.open(disk, identity, LIMITS);
  const members = cluster.initialIds.map((memberId) => ({
    memberId,
    address: cluster.addressOf(memberId),
    incarnation: `disk-${memberId}`,
    voter: true,
  }));
  await storage.bootstrap(new Membership(members, []));
  for (const record of records) {
    const kind = record.command === undefined ? LogRecordKind.Noop : LogRecordKind.Command;
    storage.log.append(record.term, kind, Buffer.from(record.command ?? ''));
  }
  await storage.log.persist();
  await storage.saveVote(term, undefined);
  await storage.close();
}
