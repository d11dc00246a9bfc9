/**
 * Decides which requests a gateway may admit before an owner has confirmed them. The bounds must hold
 * when gateways are partitioned, alone or together, while a tenant sends many times its limit to
 * all of them.
 *
 * Each gateway has an equal share of the uses that the bounds allow all gateways. With an owner, a
 * request is admitted only if the share has room for a whole use. Without an owner, each window
 * of the gateway has a share, whose fractional part is rounded up or down at random: the expected sum
 * over all gateways stays within the bounds, and a tenant with a request at one gateway isn't certain
 * to be refused. A sliding window overlaps two such windows, so each has half of the share.
 */
import type { RandomSource } from '../seams/random-source.js';
import { FleetSize } from './fleet-size.js';
import type { TenantAllowance } from './tenant-allowance.js';

/** Dependencies and settings of {@link UnconfirmedUses}. */
export interface UnconfirmedUsesOptions {
  readonly random: RandomSource;
  readonly windowMs: number;
  /** Clock reading in milliseconds at which the gateway's process started. */
  readonly startedAt: number;
}

/** The share of one gateway. Times are clock readings in milliseconds. */
export class UnconfirmedUses {
  readonly fleetSize: FleetSize;

  constructor(private readonly options: UnconfirmedUsesOptions) {
    this.fleetSize = new FleetSize(options.startedAt);
  }

  /** Whether a request may be admitted now and reported to the owner afterwards. */
  takeWithOwner(allowance: TenantAllowance, now: number): boolean {
    if (now < allowance.pressureUntil) return false;
    return allowance.unconfirmed + 1 <= this.shareOf(allowance, now);
  }

  /** Takes one use while there is no owner; returns false when none is left in this window. */
  takeWithoutOwner(allowance: TenantAllowance, now: number): boolean {
    if (now - allowance.ownerlessWindowStart >= this.options.windowMs) {
      allowance.ownerlessWindowStart = now;
      allowance.ownerlessRemaining =
        this.drawOwnerlessShare(allowance, now) - allowance.unconfirmed;
    }
    if (allowance.ownerlessRemaining < 1) return false;
    allowance.ownerlessRemaining -= 1;
    return true;
  }

  /** The gateway's share; 0 while the number of gateways isn't known. */
  private shareOf({ bounds }: TenantAllowance, now: number): number {
    return bounds.maximumUnconfirmed / this.fleetSize.estimate(now);
  }

  private drawOwnerlessShare(allowance: TenantAllowance, now: number): number {
    const share = this.shareOf(allowance, now) / 2;
    const whole = Math.floor(share);
    return this.options.random.nextFloat() < share - whole ? whole + 1 : whole;
  }
}
