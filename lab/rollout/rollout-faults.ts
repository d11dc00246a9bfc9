/** Faults that strike controllers and gateways while route documents follow each other. */
import type { RandomSource } from '../../src/seams/random-source.js';
import type { Simulation } from '../simulation/simulation.js';
import { pick } from '../simulate/fault-plan.js';
import type { RolloutFleet } from './rollout-fleet.js';
import { RolloutFault, type RolloutOptions } from './rollout-options.js';

/** How long a fault of a controller lasts, and how long all is well after it. Milliseconds. */
const SHORTEST_FAULT_MS = 500;
const LONGEST_FAULT_MS = 12_000;
const SHORTEST_CALM_MS = 500;
const LONGEST_CALM_MS = 4_000;
/** Until a process that ended is started again. Milliseconds. */
const RESTART_MS = 300;

type Process = RolloutFleet['controllers'][number];

/** See the module comment. */
export class RolloutFaults {
  private readonly random: RandomSource;

  constructor(
    private readonly simulation: Simulation,
    private readonly fleet: RolloutFleet,
    private readonly options: RolloutOptions,
  ) {
    this.random = simulation.random;
  }

  /** Schedules faults from now until `end`; all are over by then. Virtual milliseconds. */
  schedule(end: number): void {
    if (this.options.faults.length === 0) return;
    for (let row = 0; row < this.options.faultsAtOnce; row += 1) this.scheduleRow(end);
  }

  /** One after the other. */
  private scheduleRow(end: number): void {
    let at = this.simulation.now + this.between(SHORTEST_CALM_MS, LONGEST_CALM_MS);
    for (;;) {
      const duration = this.between(SHORTEST_FAULT_MS, LONGEST_FAULT_MS);
      if (at + duration > end) return;
      const fault = pick(this.random, this.options.faults);
      this.simulation.at(at, () => this.strike(fault, duration));
      at += duration + this.between(SHORTEST_CALM_MS, LONGEST_CALM_MS);
    }
  }

  private between(shortest: number, longest: number): number {
    return this.random.nextInteger(shortest, longest);
  }

  private strike(fault: RolloutFault, duration: number): void {
    if (fault === RolloutFault.GatewayRestart) {
      pick(this.random, this.fleet.gateways).crash({ power: false, downtime: RESTART_MS });
      return;
    }
    this.strikeController(fault, pick(this.random, this.fleet.controllers), duration);
  }

  private strikeController(fault: RolloutFault, controller: Process, duration: number): void {
    const { name, machine } = controller;
    switch (fault) {
      case RolloutFault.PowerLoss:
        controller.crash({ power: true, downtime: duration });
        return;
      case RolloutFault.Restart:
        controller.crash({ power: false, downtime: RESTART_MS });
        return;
      case RolloutFault.Freeze:
        machine.freeze(duration);
        return;
      case RolloutFault.Cut:
        this.cut([{ from: { machine: name } }, { to: { machine: name } }], duration);
        return;
      case RolloutFault.OneWayCut:
        this.cut([{ from: { machine: name } }], duration);
        return;
      case RolloutFault.GatewayCut:
        this.cutFromGateways(controller, duration);
        return;
      default:
    }
  }

  private cutFromGateways({ name, machine }: Process, duration: number): void {
    const near = this.fleet.gateways.filter((gateway) => gateway.machine.zone === machine.zone);
    const rules = near.flatMap((gateway) => [
      { from: { machine: name }, to: { machine: gateway.name } },
      { from: { machine: gateway.name }, to: { machine: name } },
    ]);
    this.cut(rules, duration);
  }

  private cut(rules: readonly Parameters<Simulation['cut']>[0][], duration: number): void {
    const ids = rules.map((rule) => this.simulation.cut(rule));
    this.simulation.at(this.simulation.now + duration, () => {
      for (const id of ids) this.simulation.heal(id);
    });
  }
}
