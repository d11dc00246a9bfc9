/** Which member a controller is, when the group looks after its members by itself. */
import type { ControllerConfiguration } from '../configuration/controller-configuration.js';
import type { MemberEndpoint } from '../consensus/member-endpoint.js';
import type { Address } from '../seams/address.js';
import type { DurableEnvironment } from '../seams/environment.js';
import { emptyIfDiscarded } from '../storage/discarded-folder.js';
import { HardStateStore } from '../storage/hard-state-store.js';

const SUFFIX_BYTES = 4;
/** Stands between a founding member's name and what tells a later data folder from it. */
const REPLACEMENT_MARKER = '-x';

/** Who this process is in the group. */
export interface MemberIdentity {
  readonly memberId: string;
  readonly initialMembers: readonly MemberEndpoint[];
  /** Waits to be taken into a running group. */
  readonly join: boolean;
}

/** The member id of the data folder with which a group began at this address. */
export function foundingMemberId({ host, port }: Address): string {
  return `m-${host.replaceAll(/[^0-9a-zA-Z]/g, '-').toLowerCase()}-${port}`;
}

/** Whether the id is of a member that was there from the beginning. */
export function isFoundingMemberId(memberId: string): boolean {
  return !memberId.includes(REPLACEMENT_MARKER);
}

/**
 * An id stays with its data folder: a folder that was lost is never mistaken for
 * the one that voted before.
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
    // A folder made at the first start may still have to learn that its group began with it.
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
