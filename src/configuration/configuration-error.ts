/** A daemon's settings file, or a flag, is wrong; the process does not start. */
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';
import type { InputProblem } from '../errors/input-problem.js';

/** Path of a problem that is no single key's. */
export const WHOLE_FILE = '(whole file)';

/** One wrong key or value. */
export interface ConfigurationProblem extends InputProblem {
  /** A value that would do. */
  readonly example?: string;
}

/** All problems of one file together. */
export class ConfigurationError extends DriftwayError {
  constructor(
    readonly file: string,
    readonly problems: readonly ConfigurationProblem[],
  ) {
    const lines = problems.map(({ path, reason, example }) => {
      const hint = example === undefined ? '' : ` (example: ${example})`;
      return `  ${path}: ${reason}${hint}`;
    });
    super(`${file} is not valid\n${lines.join('\n')}`, {
      step: 'read settings file',
      labels: [ErrorLabel.BadInput],
    });
  }
}
