/** `driftway-lab measure consensus`. */
import { Command, Option } from 'clipanion';
import { measureCommitLatency } from '../measure-consensus/commit-latency.js';
import {
  formatConsensusReport,
  type ConsensusReport,
} from '../measure-consensus/consensus-report.js';
import { ControllerGroup } from '../measure-consensus/controller-group.js';
import { measureFailovers } from '../measure-consensus/failover.js';
import { measureGrowth } from '../measure-consensus/growth.js';
import { runKillLoop } from '../measure-consensus/kill-loop.js';
import { runReplacementTrial } from '../measure-consensus/replacement-trial.js';
import { describeMachine } from '../measure/machine.js';

const CONTROLLERS = 3;
const LATENCY_ROUNDS = 10;
const CHANGES_PER_ROUND = 50;
const GROWTH_CHANGES = 2_000;
const GROWTH_STEP = 250;
const KILLS = 10;
const LOOP_KILLS = 12;

/** Measures agreement with real controllers. */
export class MeasureConsensusCommand extends Command {
  static override paths = [['measure', 'consensus']];

  static override usage = Command.Usage({
    category: 'Measure',
    description: 'measure commits, failover and growth of real controllers on loopback',
    details: `
      Starts three controllers as processes, and measures: the latency of an
      accepted change against one sync of the same disk, in turn; how the data
      folder grows over 2,000 changes; the time to a new leader after kill -9,
      ten times; what is lost over kills of any controller amid changes; and the replacement of a controller whose folder was wiped,
      with a second one killed right after. Takes about two minutes; ends what
      it started and removes its folders.
    `,
    examples: [['Measure everything', 'driftway-lab measure consensus']],
  });

  json = Option.Boolean('--json', false, { description: 'print the whole record as JSON' });

  async execute(): Promise<void> {
    const report = await this.measure();
    const text = this.json ? JSON.stringify(report, undefined, 2) : formatConsensusReport(report);
    this.context.stdout.write(`${text}\n`);
  }

  private async measure(): Promise<ConsensusReport> {
    const machine = describeMachine();
    const group = await ControllerGroup.start(CONTROLLERS);
    try {
      this.progress('latency');
      const latency = await measureCommitLatency(group, LATENCY_ROUNDS, CHANGES_PER_ROUND);
      this.progress('growth');
      const growth = await measureGrowth(group, GROWTH_CHANGES, GROWTH_STEP);
      this.progress('failover');
      const failovers = await measureFailovers(group, KILLS);
      this.progress('kills amid changes');
      const killLoop = await runKillLoop(group, LOOP_KILLS);
      this.progress('replacement');
      const replacement = await runReplacementTrial(group);
      const measured = { latency, growth, failovers, killLoop, replacement };
      return { machine, controllers: CONTROLLERS, ...measured };
    } finally {
      await group.close();
    }
  }

  private progress(part: string): void {
    this.context.stderr.write(`measuring ${part}\n`);
  }
}
