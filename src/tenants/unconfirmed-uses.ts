/**
 * Uses that a gateway may pass on before an owner has confirmed them. Load: gateways that are cut
 * off, alone or together, while a tenant sends many times its limit to all of them.
 *
 * Each gateway has an equal share of what the bounds allow all of them. With an owner, only a
 * whole use is passed on. Without one, each window of the gateway has a share: a part of a use is
 * drawn by chance, so that the expected sum of all gateways is within the bounds and a tenant with
 * a request at one gateway is not refused for certain. A sliding window touches two such windows,
 * so each has half of the share.
 */
import type { RandomSource } from '../seams/random-source.js';
import { FleetSize } from './fleet-size.js';
import type { TenantAllowance } from './tenant-allowance.js';

/** What it goes by. */
export interface UnconfirmedUsesOptions {
  readonly random: RandomSource;
  readonly windowMs: number;
  /** Of the gateway's process. Clock reading. Milliseconds. */
  readonly startedAt: number;
}

/** See the module comment. */
export class UnconfirmedUses {
  readonly fleetSize: FleetSize;

  constructor(private readonly options: UnconfirmedUsesOptions) {
    this.fleetSize = new FleetSize(options.startedAt);
  }

  /** Takes one while there is an owner, who is told of it. */
  takeWithOwner(allowance: TenantAllowance, now: number): boolean {
    if (now < allowance.pressureUntil) return false;
    return allowance.unconfirmed + 1 <= this.shareOf(allowance, now);
  }

  /** Takes one while there is no owner. */
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

  /** Nothing while the number of gateways is not known. */
  private shareOf({ bounds }: TenantAllowance, now: number): number {
    return bounds.maximumUnconfirmed / this.fleetSize.estimate(now);
  }

  private drawOwnerlessShare(allowance: TenantAllowance, now: number): number {
    const share = this.shareOf(allowance, now) / 2;
    const whole = Math.floor(share);
    return this.options.random.nextFloat() < share - whole ? whole + 1 : whole;
  }
}
