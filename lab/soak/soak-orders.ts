/**
 * Evacuation orders of a soak: a zone is evacuated and that ended by turns, one order at a time. What controllers
 * say of the zone between two orders is what the last one made of it.
 */
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { ZONES } from '../deployed/deployed-fleet.js';
import { callController } from './controller-call.js';

/** Between an acknowledged order and the next one. Milliseconds. */
const ORDER_INTERVAL_MS = 300;
/** After which an order is given up and given to another controller. Milliseconds. */
const ORDER_TIMEOUT_MS = 400;
const PAUSE_AFTER_FAILURE_MS = 100;
/** Each service has replicas in other zones too. */
const ZONE = ZONES[2];
const PATH = '/v1/evacuations';

/** See the module comment. */
export class SoakOrders {
  /** Answers that contradict the last acknowledged order, one text each. */
  readonly contradictions: string[] = [];
  /** Acknowledged orders. */
  count = 0;

  constructor(
    private readonly environment: Environment,
    private readonly controllers: () => readonly Address[],
  ) {}

  /** Gives orders until `stopped`; the last one may be left without an answer. */
  async run(stopped: AbortSignal): Promise<void> {
    const { clock } = this.environment;
    for (let isEvacuated = true; !stopped.aborted; isEvacuated = !isEvacuated) {
      if (!(await this.order(isEvacuated, stopped))) return;
      await clock.sleep(ORDER_INTERVAL_MS, stopped).catch(() => undefined);
      await Promise.all(this.controllers().map((one) => this.check(one, isEvacuated)));
    }
  }

  /** Gives an order to one controller after the other; whether one acknowledged it before `stopped`. */
  private async order(isEvacuated: boolean, stopped: AbortSignal): Promise<boolean> {
    const call = { method: isEvacuated ? 'PUT' : 'DELETE', path: `${PATH}/${ZONE}` };
    for (let attempt = this.count; !stopped.aborted; attempt += 1) {
      const controllers = this.controllers();
      const controller = controllers[attempt % controllers.length] as Address;
      const body = await callController(this.environment, controller, call, ORDER_TIMEOUT_MS);
      if (body !== undefined) {
        this.count += 1;
        return true;
      }
      await this.environment.clock.sleep(PAUSE_AFTER_FAILURE_MS);
    }
    return false;
  }

  private async check(controller: Address, isEvacuated: boolean): Promise<void> {
    const body = await callController(this.environment, controller, { method: 'GET', path: PATH });
    if (body === undefined) return;
    const { zones } = JSON.parse(body) as { readonly zones: readonly string[] };
    if (zones.includes(ZONE) === isEvacuated) return;
    const ordered = isEvacuated ? 'was evacuated' : 'had its evacuation ended';
    this.contradictions.push(`${ZONE} ${ordered} by order ${this.count}, which does not hold`);
  }
}
