/** Makes the client by which a gateway follows controllers. */
import type { GatewayConfiguration } from '../configuration/gateway-configuration.js';
import { DirectoryClient } from '../directory/directory-client.js';
import { SubscriberKind } from '../directory/directory-messages.js';
import type { ReplicaDirectory } from '../directory/replica-directory.js';
import type { Logger } from '../observability/logger.js';
import type { UnusableEntries } from '../observability/unusable-entries.js';
import type { ZoneTraffic } from '../observability/zone-traffic.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { formatAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';

/** Controllers that a gateway follows: one near, and one in case that it is lost. */
const CONTROLLERS_TO_FOLLOW = 2;

/** What the client is made of. */
export interface GatewayDirectoryOptions {
  readonly environment: Environment;
  readonly configuration: GatewayConfiguration;
  readonly identity: LocalIdentity;
  readonly directory: ReplicaDirectory;
  readonly unusable: UnusableEntries;
  readonly logger: Logger;
  readonly traffic: ZoneTraffic;
}

export function createDirectoryClient(options: GatewayDirectoryOptions): DirectoryClient {
  const { configuration, ...parts } = options;
  const { zone, controllers, listen } = configuration;
  const client = new DirectoryClient({
    ...parts,
    followed: CONTROLLERS_TO_FOLLOW,
    ...(listen.messages === undefined ? {} : { gatherAddress: formatAddress(listen.messages) }),
    subscriberKind: SubscriberKind.Gateway,
    zone,
  });
  client.useSeeds(controllers.map(formatAddress));
  return client;
}
