/** `driftway-lab measure router-cost`. */
import { Command, Option } from 'clipanion';
import { describeMachine } from '../measure/machine.js';
import { FULL_ROUTER_COST, QUICK_ROUTER_COST } from '../measure/router-cost-options.js';
import { formatRouterCost, type RouterCostReport } from '../measure/router-cost-report.js';
import { measureRouterCost } from '../measure/router-cost.js';
import { measureRouterMemory } from '../measure/router-memory.js';
import { profileRouter } from '../measure/router-profile.js';

/** Measures CPU and memory of a router against a bare client. */
export class MeasureRouterCostCommand extends Command {
  static override paths = [['measure', 'router-cost']];

  static override usage = Command.Usage({
    category: 'Measure',
    description: "measure the router's CPU and memory against a bare undici client",
    details: `
      Starts stand-in back ends, a bare undici client, a router and a load
      process on this machine, lets client and router take turns at the same
      back ends, and prints the CPU of each for a back-end request, their ratio
      and its spread, and the memory of idle connections and queries in flight.

      Takes about five minutes in full and one with \`--quick\`. Uses
      loopback only and ends what it started.
    `,
    examples: [
      ['Measure everything', 'driftway-lab measure router-cost'],
      ['A short run for a first look', 'driftway-lab measure router-cost --quick'],
      ['A trial under the sampling profiler', 'driftway-lab measure router-cost --profile'],
    ],
  });

  quick = Option.Boolean('--quick', false, { description: 'fewer sizes and shorter readings' });
  json = Option.Boolean('--json', false, { description: 'print the whole record as JSON' });
  profile = Option.Boolean('--profile', false, {
    description: 'only profile the router, as a trial, and list where its time goes',
  });
  memory = Option.Boolean('--memory', true, { description: 'also measure memory' });

  async execute(): Promise<void> {
    const options = this.quick ? QUICK_ROUTER_COST : FULL_ROUTER_COST;
    if (this.profile) {
      const summary = await profileRouter(options);
      this.context.stdout.write(`${JSON.stringify(summary, undefined, 2)}\n`);
      return;
    }
    const progress = (line: string): void => void this.context.stderr.write(`${line}\n`);
    const machine = describeMachine();
    const cost = await measureRouterCost(options, progress);
    const memory = this.memory ? await measureRouterMemory(options, progress) : undefined;
    const report: RouterCostReport = { machine, options, cost, memory };
    const text = this.json ? JSON.stringify(report, undefined, 2) : formatRouterCost(report);
    this.context.stdout.write(`${text}\n`);
  }
}
