/** What differs between two configurations, place by place. */
import type { ConfigurationState } from './configuration-state.js';

/** Any JSON value. */
export type Json = string | number | boolean | null | Json[] | { [name: string]: Json };

/** One place that differs; null stands for nothing there. */
export interface ConfigurationDifference {
  /** `overrides.SCOPE.KEY`, `services.NAME` or `regions.NAME`. */
  readonly path: string;
  readonly before: Json;
  readonly after: Json;
}

/** Every place of a configuration that is compared as one, by path. */
export function placesOf(state: ConfigurationState): Map<string, Json> {
  const places = new Map<string, Json>();
  for (const [name, region] of Object.entries(state.regions)) {
    places.set(`regions.${name}`, region as unknown as Json);
  }
  for (const [name, service] of Object.entries(state.services)) {
    places.set(`services.${name}`, service);
  }
  for (const [scope, override] of Object.entries(state.overrides)) {
    for (const [key, value] of Object.entries(override)) {
      places.set(`overrides.${scope}.${key}`, value);
    }
  }
  return places;
}

/** All differences, ordered by path. */
export function differencesBetween(
  before: ConfigurationState,
  after: ConfigurationState,
): ConfigurationDifference[] {
  const earlier = placesOf(before);
  const later = placesOf(after);
  const paths = [...new Set([...earlier.keys(), ...later.keys()])].sort();
  return paths
    .map((path) => ({
      path,
      before: earlier.get(path) ?? null,
      after: later.get(path) ?? null,
    }))
    .filter((place) => JSON.stringify(place.before) !== JSON.stringify(place.after));
}
