/** Entry point of the `driftway-lab` command line. Never deployed. */
import { createCommandLine, runCommandLine } from '../../src/commands/run-command-line.js';
import { BenchCommand } from './bench-command.js';
import { BackendCommand } from './backend-command.js';
import { DemoCommand } from './demo-command.js';
import { FleetCommand } from './fleet-command.js';
import { PlatformCommand } from './platform-command.js';
import { SimulateCommand } from './simulate-command.js';
import { LivesCommand } from './lives-command.js';
import { LoadCommand } from './load-command.js';
import { MeasureConsensusCommand } from './measure-consensus.js';
import { MeasureRouterCostCommand } from './measure-router-cost.js';
import { RecoveryCommand } from './recovery-command.js';
import { ReportCommand } from './report-command.js';
import { RolloutCommand } from './rollout-command.js';
import { ScaleCommand } from './scale-command.js';
import { SoakCommand } from './soak-command.js';

const COMMANDS = [
  BenchCommand,
  BackendCommand,
  PlatformCommand,
  SimulateCommand,
  FleetCommand,
  DemoCommand,
  RecoveryCommand,
  LivesCommand,
  LoadCommand,
  MeasureConsensusCommand,
  MeasureRouterCostCommand,
  ReportCommand,
  RolloutCommand,
  ScaleCommand,
  SoakCommand,
];

/** Runs one command line and returns its exit code. */
export function runDriftwayLab(commandLine: readonly string[]): Promise<number> {
  return runCommandLine(createCommandLine('driftway-lab', COMMANDS), commandLine);
}
