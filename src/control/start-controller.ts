/** Starts a controller that its process keeps running. */
import type { ControllerConfiguration } from '../configuration/controller-configuration.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { DurableEnvironment } from '../seams/environment.js';
import { SupervisedDaemon } from '../startup/supervised-daemon.js';
import { waitForAddresses } from '../startup/waiting-network.js';
import { ControllerDaemon } from './controller-daemon.js';
import { mayStartAgain } from './may-start-again.js';

/**
 * Resolves once the controller runs for the first time: it waits for its addresses and for its disk,
 * and is started again when its disk failed or the group removed it.
 *
 * @param stopped - ends the wait.
 * @throws DriftwayError when it cannot start with these settings, or on a damaged data folder.
 */
export function startController(
  environment: DurableEnvironment,
  configuration: ControllerConfiguration,
  telemetry: Telemetry,
  stopped: AbortSignal,
): Promise<SupervisedDaemon> {
  const { logger, registry } = telemetry;
  return SupervisedDaemon.start({
    clock: environment.clock,
    logger,
    registry,
    stopped,
    start: (stopping) => {
      const waiting = waitForAddresses(environment, { logger, stopped: stopping });
      return ControllerDaemon.start(waiting, configuration, telemetry);
    },
    mayStartAgain: (failure) => mayStartAgain(failure, configuration),
  });
}
