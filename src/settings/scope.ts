/** The levels of the settings tree, from the widest to the narrowest. */
import { nameSchema } from '../model/service-definition.js';

/** One node of the settings tree. */
export type Scope =
  | { readonly level: 'defaults' }
  | { readonly level: 'region'; readonly region: string }
  | { readonly level: 'zone'; readonly zone: string }
  | { readonly level: 'service'; readonly service: string };

/** `defaults`, `region/NAME`, `zone/NAME` or `service/NAME`; the key of an override. */
export function formatScope(scope: Scope): string {
  switch (scope.level) {
    case 'defaults':
      return 'defaults';
    case 'region':
      return `region/${scope.region}`;
    case 'zone':
      return `zone/${scope.zone}`;
    case 'service':
      return `service/${scope.service}`;
  }
}

/** Reads what {@link formatScope} writes; undefined when it is anything else. */
export function parseScope(text: string): Scope | undefined {
  if (text === 'defaults') return { level: 'defaults' };
  const separator = text.indexOf('/');
  const name = text.slice(separator + 1);
  if (!nameSchema.safeParse(name).success) return undefined;
  switch (text.slice(0, separator)) {
    case 'region':
      return { level: 'region', region: name };
    case 'zone':
      return { level: 'zone', zone: name };
    case 'service':
      return { level: 'service', service: name };
    default:
      return undefined;
  }
}
