/** What the administration API works with. */
import type { Registry } from 'prom-client';
import type { ReplicatedLog } from '../consensus/replicated-log.js';
import type { EvacuationOrders } from '../evacuations/evacuation-orders.js';
import type { Logger } from '../observability/logger.js';
import type { QuarantineOrders } from '../quarantine/quarantine-orders.js';
import type { RouteDocumentRegister } from '../routes/route-document-register.js';
import type { Clock } from '../seams/clock.js';
import type { ConfigurationStateMachine } from '../settings/configuration-state-machine.js';
import type { QuotaServer } from '../tenants/quota-server.js';
import type { ForceTracker } from './force-tracker.js';
import type { MemberAdministration } from './member-administration.js';
import type { RouteTracker } from './route-tracker.js';

/** Parts of one controller. */
export interface AdministrationDependencies {
  readonly log: ReplicatedLog;
  /** The state that `log` applies to. */
  readonly machine: ConfigurationStateMachine;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: Registry;
  /** SHA-256 of the bootstrap token, hexadecimal; without one, only team tokens are accepted. */
  readonly bootstrapTokenHash?: string;
  /** Without one, answers say nothing of daemons. */
  readonly forces?: ForceTracker;
  /** Without one, answers say nothing of gateways. */
  readonly routes?: RouteTracker;
  /** Without one, members cannot be changed. */
  readonly members?: MemberAdministration;
  /** Without them, zones cannot be evacuated. */
  readonly evacuations?: EvacuationOrders;
  /** Without them, nothing is known of requests under which replicas end. */
  readonly quarantine?: QuarantineOrders;
  /** Without it, nothing is known of tenants. */
  readonly routeDocument?: RouteDocumentRegister;
  /** Without it, limits of tenants are not kept. */
  readonly quota?: QuotaServer | undefined;
  /** A longer body is refused. Bytes. {@link MAXIMUM_COMMAND_BYTES} when absent. */
  readonly maximumBodyBytes?: number;
}
