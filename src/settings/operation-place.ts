/** The place of the configuration that an operation writes. */
import type { Operation } from './change.js';

/** In the form of `ConfigurationDifference.path`. */
export function placeOf(operation: Operation): string {
  switch (operation.type) {
    case 'set':
    case 'unset':
      return `overrides.${operation.scope}.${operation.key}`;
    case 'createRegion':
    case 'addZone':
      return `regions.${operation.region}`;
    case 'createService':
      return `services.${operation.service.name}`;
    default:
      return `services.${operation.service}`;
  }
}
