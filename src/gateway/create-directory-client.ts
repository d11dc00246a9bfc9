/** Creates the directory client with which a gateway follows the controllers. */
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

/** One nearby controller, and another one in case the first is lost. */
const CONTROLLERS_TO_FOLLOW = 2;

/** Settings and collaborators of the client. */
export interface GatewayDirectoryOptions {
  readonly environment: Environment;
  readonly configuration: GatewayConfiguration;
  readonly identity: LocalIdentity;
  readonly directory: ReplicaDirectory;
  readonly unusable: UnusableEntries;
  readonly logger: Logger;
  readonly traffic: ZoneTraffic;
}

/** Uses the configured controllers as seeds, and reports the gather address, if any, to them. */
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
  client.setSeeds(controllers.map(formatAddress));
  return client;
}
