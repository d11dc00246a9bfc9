/**
 * An operator who puts one route document after the other: to one controller, and to another
 * when that one does not answer.
 */
import type { RandomSource } from '../../src/seams/random-source.js';
import { pick } from '../simulate/fault-plan.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { Simulation } from '../simulation/simulation.js';
import type { RolloutFleet } from './rollout-fleet.js';
import type { RolloutLedger } from './rollout-ledger.js';
import type { RolloutOptions } from './rollout-options.js';

/** After this an operator's call goes to another controller. Milliseconds. */
const CALL_TIMEOUT_MS = 1_100;
/** For so long documents follow each other with the same pause; then another is drawn. Milliseconds. */
const SPELL_MS = 4_000;
const CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 100_000,
  connectTimeout: CALL_TIMEOUT_MS,
  keepAliveTimeout: 1_000,
};

/** What the operator works on. */
export interface RolloutOperatorParts {
  readonly simulation: Simulation;
  readonly machine: SimulatedMachine;
  readonly fleet: RolloutFleet;
  readonly ledger: RolloutLedger;
  readonly options: RolloutOptions;
}

/** A valid document of some size. */
export function rolloutDocument(version: number, routes: number): string {
  return JSON.stringify({
    version,
    routes: Array.from({ length: routes }, (_route, index) => ({
      name: `route-${index}`,
      host: 'desk.example',
      pathPrefix: `/service-${index}/`,
      execution: 'repeatable',
      timeoutMs: 2_000,
      service: `service-${index}`,
    })),
    services: Array.from({ length: routes }, (_route, index) => ({ name: `service-${index}` })),
  });
}

/** See the module comment. */
export class RolloutOperator {
  private version = 0;
  private readonly random: RandomSource;

  constructor(private readonly parts: RolloutOperatorParts) {
    this.random = parts.simulation.random;
  }

  /** Puts documents until `end`. Virtual milliseconds. */
  async run(end: number): Promise<void> {
    const { simulation, machine, options } = this.parts;
    while (simulation.now < end) {
      const pause = pick(this.random, options.pausesMs);
      const spellEnd = Math.min(end, simulation.now + SPELL_MS);
      while (simulation.now < spellEnd) {
        await this.putNext(end);
        await machine.environment.clock.sleep(Math.max(1, pause));
      }
    }
  }

  /** Puts the next version, at one controller after the other until one accepts it. */
  private async putNext(end: number): Promise<void> {
    const { simulation, ledger, options } = this.parts;
    this.version += 1;
    const document = rolloutDocument(this.version, options.routes);
    while (simulation.now < end) {
      if (await this.put(document)) {
        ledger.noteAccepted(this.version, simulation.now);
        return;
      }
    }
  }

  private async put(body: string): Promise<boolean> {
    const { machine, fleet } = this.parts;
    const { clock, network } = machine.environment;
    const address = fleet.registrationAddress(pick(this.random, fleet.controllers));
    const client = network.httpClient(address, CLIENT_OPTIONS);
    const timeout = new AbortController();
    const timer = clock.setTimer(CALL_TIMEOUT_MS, () => timeout.abort(new Error('no answer')));
    try {
      const request = { method: 'PUT', path: '/v1/routes', headers: {}, body };
      const { status } = await client.request({ ...request, signal: timeout.signal });
      return status === 200;
    } catch {
      // Not known whether it was accepted: the same document goes to another controller.
      return false;
    } finally {
      timer.cancel();
      client.destroy();
    }
  }
}
