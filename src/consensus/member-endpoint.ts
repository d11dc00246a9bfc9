/** How a member is reached. */
import type { Address } from '../seams/address.js';

/** A member id and where it listens for internal messages. */
export interface MemberEndpoint {
  readonly memberId: string;
  readonly address: Address;
}
