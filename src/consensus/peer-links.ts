/** The links to all other members, made when first needed. */
import { parseAddress, type Address } from '../seams/address.js';
import type { MemberEndpoint } from './member-endpoint.js';
import type { MemberState } from './member-state.js';
import { PeerLink, type Dial } from './peer-link.js';

/** Finds the link to a member. */
export class PeerLinks {
  private readonly links = new Map<string, PeerLink>();
  private readonly initialAddresses: ReadonlyMap<string, Address>;

  constructor(
    private readonly state: MemberState,
    private readonly dial: Dial,
    initialMembers: readonly MemberEndpoint[],
  ) {
    this.initialAddresses = new Map(
      initialMembers.map(({ memberId, address }) => [memberId, address]),
    );
  }

  /** The link to a member of the group or of the initial group; undefined for strangers. */
  find(memberId: string): PeerLink | undefined {
    const existing = this.links.get(memberId);
    if (existing !== undefined) return existing;
    const known = this.state.membership.find(memberId);
    const address =
      known === undefined ? this.initialAddresses.get(memberId) : parseAddress(known.address);
    if (address === undefined) return undefined;
    const link = this.openApart({ memberId, address });
    this.links.set(memberId, link);
    return link;
  }

  /**
   * A link of its own to an endpoint that need not be a member yet. It takes
   * the place of none, and the caller closes it.
   */
  openApart(endpoint: MemberEndpoint): PeerLink {
    return new PeerLink(this.state, endpoint, this.dial);
  }

  /** Closes the link to a member that was removed. */
  drop(memberId: string): void {
    this.links.get(memberId)?.close();
    this.links.delete(memberId);
  }

  close(): void {
    for (const link of this.links.values()) link.close();
  }
}
