/** Cuts between the members of a simulated group. */
import type { Simulation } from '../../../lab/simulation/simulation.js';

export class ClusterLinks {
  constructor(private readonly simulation: Simulation) {}

  /** Drops everything between two members from now on. */
  cut(left: string, right: string, bothWays = true): void {
    if (left === right) return;
    this.simulation.cut({ from: { machine: left }, to: { machine: right } });
    if (bothWays) this.simulation.cut({ from: { machine: right }, to: { machine: left } });
  }

  /** Cuts one member off from all others. */
  isolate(id: string): void {
    this.simulation.cut({ from: { machine: id } });
    this.simulation.cut({ to: { machine: id } });
  }

  /** Cuts one zone off from all others. */
  isolateZone(zone: string): void {
    const others = new Set(this.simulation.machines.map((machine) => machine.zone));
    others.delete(zone);
    for (const other of others) {
      this.simulation.cut({ from: { zone }, to: { zone: other } });
      this.simulation.cut({ from: { zone: other }, to: { zone } });
    }
  }

  heal(): void {
    this.simulation.healAll();
  }
}
