/** Operations and differences in one line each. */
import type { Operation } from '../settings/change.js';
import type { ConfigurationDifference } from '../settings/configuration-difference.js';

/** Longest value printed in a line. Characters. */
const MAXIMUM_VALUE_LENGTH = 200;

export function formatOperation(operation: Operation): string {
  switch (operation.type) {
    case 'set':
      return `set ${operation.scope} ${operation.key} ${operation.value}`;
    case 'unset':
      return `unset ${operation.scope} ${operation.key}`;
    case 'createRegion':
      return `create region ${operation.region} with zones ${operation.zones.join(', ')}`;
    case 'addZone':
      return `add zone ${operation.zone} to region ${operation.region}`;
    case 'createService':
      return `create service ${operation.service.name}`;
    case 'removeService':
      return `remove service ${operation.service}`;
    case 'repartition':
      return `repartition ${operation.service} into ${operation.shards.length} shards`;
    case 'dropLayout':
      return `drop layout ${operation.layoutEpoch} of ${operation.service}`;
    case 'addReplica':
      return `add replica ${operation.replica.replicaId} to ${operation.service} shard ${operation.shardId}`;
    case 'removeReplica':
      return `remove replica ${operation.replicaId} of ${operation.service}`;
  }
}

/** A value in one line, cut when it is long. */
export function formatValue(value: unknown): string {
  if (value === null || value === undefined) return '(nothing)';
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  if (text.length <= MAXIMUM_VALUE_LENGTH) return text;
  return `${text.slice(0, MAXIMUM_VALUE_LENGTH)}… (${text.length} characters; --json for all)`;
}

/** The places that differ, each with what was and what would be there. */
export function formatDifferences(differences: readonly ConfigurationDifference[]): string {
  if (differences.length === 0) return 'no difference\n';
  return differences
    .map(({ path, before, after }) => {
      const removed = before === null ? '' : `  - ${formatValue(before)}\n`;
      const added = after === null ? '' : `  + ${formatValue(after)}\n`;
      return `${path}\n${removed}${added}`;
    })
    .join('');
}
