/**
 * Member identity of a controller; derived from its address and data folder under automatic
 * membership.
 */
import type { ControllerConfiguration } from '../configuration/controller-configuration.js';
import type { MemberEndpoint } from '../consensus/member-endpoint.js';
import type { Address } from '../seams/address.js';
import type { DurableEnvironment } from '../seams/environment.js';
import { emptyIfDiscarded } from '../storage/discarded-folder.js';
import { HardStateStore } from '../storage/hard-state-store.js';

const SUFFIX_BYTES = 4;
/** Separates the founding member ID of an address from the random suffix of a later data folder. */
const REPLACEMENT_MARKER = '-x';

/** Member ID of this process, and how it enters the group. */
export interface MemberIdentity {
  readonly memberId: string;
  readonly initialMembers: readonly MemberEndpoint[];
  /** Whether this process waits until a running group adds it, instead of founding one. */
  readonly join: boolean;
}

/** Returns the ID of the member that founds a group at this address. */
export function foundingMemberId({ host, port }: Address): string {
  return `m-${host.replaceAll(/[^0-9a-zA-Z]/g, '-').toLowerCase()}-${port}`;
}

/** Whether the ID belongs to a founding member, and not to a replacement. */
export function isFoundingMemberId(memberId: string): boolean {
  return !memberId.includes(REPLACEMENT_MARKER);
}

/**
 * Determines the member ID and the way into the group. An ID is bound to its data folder: a new
 * folder after a loss gets another ID, so it is never mistaken for the member that voted before.
 *
 * @throws DiskError when the folder cannot be read.
 */
export async function resolveMemberIdentity(
  environment: DurableEnvironment,
  configuration: ControllerConfiguration,
): Promise<MemberIdentity> {
  const { automaticMembership, listen, initialMembers, memberId, join } = configuration;
  if (automaticMembership === undefined) return { memberId, initialMembers, join };
  const founding = foundingMemberId(listen.messages);
  const founders = automaticMembership.seeds.map((address) => ({
    memberId: foundingMemberId(address),
    address,
  }));
  const isFounder = founders.some((founder) => founder.memberId === founding);
  const wasDiscarded = await emptyIfDiscarded(environment.disk);
  const stored = await new HardStateStore(environment.disk).load();
  if (stored !== undefined) {
    // The folder of a founder may not yet record that the group was founded with it: such a member
    // must not wait to be added.
    const isOfFounder = stored.memberId === founding && isFounder;
    return { memberId: stored.memberId, initialMembers: founders, join: !isOfFounder };
  }
  if (automaticMembership.firstStart && !wasDiscarded) {
    return { memberId: founding, initialMembers: founders, join: !isFounder };
  }
  const suffix = environment.random.nextIdentifier(SUFFIX_BYTES);
  return {
    memberId: `${founding}${REPLACEMENT_MARKER}${suffix}`,
    initialMembers: founders,
    join: true,
  };
}
