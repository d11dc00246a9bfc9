/** How many requests a second a service's slots can work on. */
import type { ServiceDefinition } from '../../src/model/service-definition.js';
import type { Trace } from './trace.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Mean working time of a reply in a trace, slow periods left out. Milliseconds. */
function meanWorkingTime(service: string, trace: Trace): number {
  const usual = trace.replyTimes[service];
  if (usual === undefined) throw new RangeError(`the trace has no reply times of ${service}`);
  const mean = usual.medianMs * Math.exp(usual.sigma ** 2 / 2);
  const { stragglers } = trace;
  if (stragglers === undefined) return mean;
  const meanFactor = (stragglers.minimumFactor + stragglers.maximumFactor) / 2;
  return mean * (1 + stragglers.share * (meanFactor - 1));
}

/** The shard with the fewest slots decides, since a request goes to every shard. */
export function serviceCapacity(definition: ServiceDefinition, trace: Trace): number {
  const shards = definition.layouts[0]?.shards ?? [];
  const slots = shards.map(({ replicas }) =>
    replicas.reduce((sum, replica) => sum + replica.slots, 0),
  );
  const perShard = MILLISECONDS_PER_SECOND / meanWorkingTime(definition.name, trace);
  return Math.min(...slots) * perShard;
}
