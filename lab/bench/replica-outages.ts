/** When each replica could take no new work, as the trace has it. */
import { DEPLOYMENTS, replicaName, zoneOf, type DeploymentName } from './deployment.js';
import type { Trace, TraceFault, TraceFaultKind } from './trace.js';

/** Faults under which a replica begins nothing new. */
const ENDS_WORK: ReadonlySet<TraceFaultKind> = new Set(['crash', 'power_loss', 'drain']);

/** A replica that a fault strikes. */
export interface StruckReplica {
  readonly service: string;
  readonly replicaId: string;
}

/** The replicas a fault strikes, in a fixed order. */
export function struckReplicas(deployment: DeploymentName, fault: TraceFault): StruckReplica[] {
  const struck: StruckReplica[] = [];
  for (const [service, size] of Object.entries(DEPLOYMENTS[deployment].services)) {
    if (fault.service !== undefined && fault.service !== service) continue;
    for (let shard = 0; shard < size.shards; shard += 1) {
      if (fault.shard !== undefined && fault.shard !== shard) continue;
      for (let replica = 0; replica < size.replicasPerShard; replica += 1) {
        if (fault.replica !== undefined && fault.replica !== replica) continue;
        if (fault.zone !== undefined && fault.zone !== zoneOf(deployment, shard, replica)) continue;
        struck.push({ service, replicaId: replicaName(service, shard, replica) });
      }
    }
  }
  return struck;
}

/** A time in which a replica begins nothing. Milliseconds since the start of the run. */
interface Outage {
  readonly from: number;
  readonly to: number;
  /** Whether work under way at `from` is lost. */
  readonly losesWork: boolean;
}

/** Answers for one trace. */
export class ReplicaOutages {
  private readonly outages = new Map<string, Outage[]>();

  constructor(trace: Trace) {
    for (const fault of trace.faults) {
      if (!ENDS_WORK.has(fault.kind)) continue;
      const outage: Outage = {
        from: fault.atMs,
        to: fault.untilMs ?? Infinity,
        losesWork: fault.kind !== 'drain',
      };
      for (const { replicaId } of struckReplicas(trace.deployment, fault)) {
        this.outages.set(replicaId, [...(this.outages.get(replicaId) ?? []), outage]);
      }
    }
  }

  /** Whether work begun at `begin` that takes until `end` can be finished. */
  canWork(replicaId: string, begin: number, end: number): boolean {
    const outages = this.outages.get(replicaId) ?? [];
    return outages.every(({ from, to, losesWork }) => {
      const beginsInside = begin >= from && begin < to;
      const isCut = losesWork && begin < from && end > from;
      return !beginsInside && !isCut;
    });
  }
}
