/**
 * Receives the gateways' quarantine changes at a controller and proposes those that would change
 * the register: at once, or in one batch those that arrive during a proposal. Bounded: when more
 * changes arrive than the group can commit, urgent changes displace others, and dropped changes
 * are counted in the next log line. Gateways resend evidence that is not committed.
 */
import type { Logger } from '../observability/logger.js';
import { MAXIMUM_FINGERPRINT_LENGTH } from './quarantine-entry.js';
import type { QuarantineOrders } from './quarantine-orders.js';
import {
  MAXIMUM_CHANGES_PER_COMMAND,
  isUrgent,
  type QuarantineChange,
  type QuarantineRegister,
} from './quarantine-register.js';

/** Most changes that wait to be proposed. */
const MAXIMUM_WAITING_CHANGES = 256;

/** Dependencies of {@link EvidenceIntake}. */
export interface EvidenceIntakeParts {
  readonly orders: QuarantineOrders;
  readonly register: QuarantineRegister;
  readonly logger: Logger;
}

/** At most one proposal of the intake is in flight. */
export class EvidenceIntake {
  private waiting: QuarantineChange[] = [];
  private isProposing = false;
  /** The last proposal failed; a series of failures is logged once. */
  private isFailing = false;
  private dropped = 0;

  constructor(private readonly parts: EvidenceIntakeParts) {}

  /** Queues a gateway's change; ignores one with an invalid fingerprint or without an effect. */
  submit(change: QuarantineChange): void {
    const isValidFingerprint =
      change.fingerprint.length > 0 && change.fingerprint.length <= MAXIMUM_FINGERPRINT_LENGTH;
    if (!isValidFingerprint || !this.parts.register.wouldChangeEntry(change)) return;
    if (this.waiting.length >= MAXIMUM_WAITING_CHANGES && !this.evictFor(change)) return;
    this.waiting.push(change);
    if (!this.isProposing) void this.propose();
  }

  /** Drops a change that is not urgent in favour of an urgent one; false when `change` is the one dropped. */
  private evictFor(change: QuarantineChange): boolean {
    this.dropped += 1;
    const index = this.waiting.findIndex((other) => !isUrgent(other));
    if (index < 0 || !isUrgent(change)) return false;
    this.waiting.splice(index, 1);
    return true;
  }

  private async propose(): Promise<void> {
    const { orders, register, logger } = this.parts;
    this.isProposing = true;
    while (this.waiting.length > 0) {
      const batch = this.waiting.splice(0, MAXIMUM_CHANGES_PER_COMMAND);
      const effective = batch.filter((change) => register.wouldChangeEntry(change));
      if (effective.length === 0) continue;
      try {
        await orders.propose(effective);
        this.isFailing = false;
        logger.info('crash evidence recorded', {
          changes: effective.length,
          dropped: this.dropped,
        });
      } catch (error) {
        // Gateways resend the evidence, to another controller if this one is partitioned.
        if (!this.isFailing) {
          logger.warn('crash evidence not recorded', {
            changes: effective.length,
            reason: String(error),
          });
        }
        this.isFailing = true;
      }
      this.dropped = 0;
    }
    this.isProposing = false;
  }
}
