/** Pages that are written from the code and committed. */
import { openApiDocument } from '../../src/administration/openapi-document.js';
import { settingsReference } from '../../src/settings/settings-reference.js';
import { metricsReference } from './metrics-reference.js';

/** One page. */
export interface GeneratedDocument {
  /** Relative to the root of the repository. */
  readonly path: string;
  /** Before formatting. */
  readonly write: () => string | Promise<string>;
}

export const GENERATED_DOCUMENTS: readonly GeneratedDocument[] = [
  { path: 'docs/operators/settings-reference.md', write: settingsReference },
  { path: 'docs/openapi.yaml', write: openApiDocument },
  { path: 'docs/operators/metrics.md', write: metricsReference },
];
