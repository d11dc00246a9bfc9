/** Which faults are on in one stand-in back end, and whom they strike. */
import type { RandomSource } from '../../src/seams/random-source.js';
import {
  backendFaultSchema,
  type BackendFault,
  type BackendFaultInput,
  type BackendFaultKind,
} from './backend-fault.js';

/** At most one fault of each kind at a time. */
export class FaultSwitchboard {
  private readonly faults = new Map<BackendFaultKind, BackendFault>();

  constructor(private readonly random: RandomSource) {}

  /** Switches a fault on, replacing an earlier one of its kind. */
  set(fault: BackendFaultInput): void {
    const checked = backendFaultSchema.parse(fault);
    this.faults.set(checked.kind, checked);
  }

  clear(): void {
    this.faults.clear();
  }

  list(): BackendFault[] {
    return [...this.faults.values()];
  }

  /** The fault of this kind if it strikes now. */
  strike(kind: BackendFaultKind): BackendFault | undefined {
    const fault = this.faults.get(kind);
    if (fault === undefined) return undefined;
    if (fault.share < 1 && this.random.nextFloat() >= fault.share) return undefined;
    this.countDown(fault);
    return fault;
  }

  private countDown(fault: BackendFault): void {
    if (fault.remaining === undefined) return;
    if (fault.remaining === 1) {
      this.faults.delete(fault.kind);
      return;
    }
    this.faults.set(fault.kind, { ...fault, remaining: fault.remaining - 1 });
  }
}
