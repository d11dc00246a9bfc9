/** The data folder holds something that no crash of this program can have left behind. */
import { DriftwayError } from '../errors/driftway-error.js';

/** What an operator may do about a damaged data folder. */
const ADVICE =
  'do not edit or delete files to get past this; replace the member: add a new member id with an ' +
  'empty data folder as a learner, promote it, remove this one (see docs/operators/controller-storage.md)';

/** Damage that is not a torn tail. The member must not start on what is left. */
export class DamagedStorageError extends DriftwayError {
  constructor(
    /** Relative to the data folder. */
    readonly path: string,
    /** Byte at which the damage begins; 0 when the whole file is concerned. */
    readonly offset: number,
    reason: string,
  ) {
    super(`${path} at byte ${offset}: ${reason}; ${ADVICE}`, { step: 'read data folder' });
  }
}
