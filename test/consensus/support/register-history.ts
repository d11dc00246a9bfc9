/** What all operators of a run did and were told. */
import type { RegisterOperation } from '../../../lab/linearizability/register-operation.js';

export class RegisterHistory {
  readonly operations: RegisterOperation[] = [];
  private moments = 0;

  /** Later than every moment before, also when no virtual time has passed. */
  moment(): number {
    this.moments += 1;
    return this.moments;
  }
}
