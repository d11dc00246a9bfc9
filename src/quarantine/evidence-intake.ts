/**
 * Takes the gateways' evidence in at a controller and proposes what is news: at once, and what
 * comes while a proposal is under way together. Bounded: while more comes than the group can
 * agree on, evidence of trials goes first, and the rest is dropped and counted in the next line;
 * gateways send what matters again.
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

/** Changes that wait to be proposed. */
const MAXIMUM_WAITING_CHANGES = 256;

/** What the intake works on. */
export interface EvidenceIntakeParts {
  readonly orders: QuarantineOrders;
  readonly register: QuarantineRegister;
  readonly logger: Logger;
}

/** See the module comment. */
export class EvidenceIntake {
  private waiting: QuarantineChange[] = [];
  private isProposing = false;
  private dropped = 0;

  constructor(private readonly parts: EvidenceIntakeParts) {}

  /** Takes a gateway's word. */
  submit(change: QuarantineChange): void {
    const isNamed =
      change.fingerprint.length > 0 && change.fingerprint.length <= MAXIMUM_FINGERPRINT_LENGTH;
    if (!isNamed || !this.parts.register.wouldChangeEntry(change)) return;
    if (this.waiting.length >= MAXIMUM_WAITING_CHANGES && !this.evictFor(change)) return;
    this.waiting.push(change);
    if (!this.isProposing) void this.propose();
  }

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
      const news = batch.filter((change) => register.wouldChangeEntry(change));
      if (news.length === 0) continue;
      try {
        await orders.propose(news);
        logger.info('crash evidence recorded', { changes: news.length, dropped: this.dropped });
      } catch (error) {
        // Gateways send what matters again, to another controller if this one is cut off.
        logger.warn('crash evidence not recorded', {
          changes: news.length,
          reason: String(error),
        });
      }
      this.dropped = 0;
    }
    this.isProposing = false;
  }
}
