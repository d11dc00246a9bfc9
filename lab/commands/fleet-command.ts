/** `driftway-lab fleet`: a whole fleet of real processes on this machine. */
import { Command, Option } from 'clipanion';
import { ExitCode } from '../../src/commands/daemon-process.js';
import { loadConfiguration } from '../../src/commands/load-configuration.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { formatAddress } from '../../src/seams/address.js';
import { describeRouter, type Fleet } from '../fleet/fleet.js';
import { fleetFileSchema } from '../fleet/fleet-file.js';
import { checkProcesses } from '../fleet/process-record.js';
import { stopSignal, withFleet } from '../fleet/with-fleet.js';
import { RunCommand } from './run-command.js';

/** Runs until SIGTERM. */
export class FleetCommand extends RunCommand {
  static override paths = [['fleet']];
  static override usage = Command.Usage({
    category: 'Fleets',
    description: 'Run a whole fleet of real processes on this machine',
    details: `
      Starts the controllers, routers, stand-in back ends and the platform list that the file
      names, each a process of its own on loopback with ports picked by the system, and gives
      them their first configuration. Prints where everything listens and the variables that
      operator commands need, then runs until SIGTERM or Ctrl-C and stops all of it in the
      planned way.

      Exits with 0 when every process stopped as it was told to, with 1 when one did not or ended
      by itself, with 2 when the file is wrong, naming every wrong key.
    `,
    examples: [
      ['Hokkaido as it is today', 'driftway-lab fleet --file lab/fleets/dohoku.yaml'],
      [
        'Keep logs and data to look at',
        'driftway-lab fleet --file lab/fleets/pnw.yaml --folder ./fleet',
      ],
    ],
  });

  file = Option.String('--file', { required: true, description: 'Fleet file (YAML)' });
  folder = Option.String('--folder', {
    description: 'Where settings files, logs and data go; a temporary folder when absent',
  });
  json = Option.Boolean('--json', false, { description: 'Print one JSON line once all runs' });

  protected override async runConfigured(): Promise<ExitCode> {
    const signal = stopSignal();
    const file = await loadConfiguration(fleetFileSchema, this.file, []);
    const environment = createNodeEnvironment();
    const problems = await withFleet(
      { environment, file, folder: this.folder, signal },
      async (fleet) => {
        this.context.stdout.write(this.json ? describeAsJson(fleet) : describe(fleet));
        await fleet.firstEnd(signal);
      },
      async (fleet) => checkProcesses(fleet.record),
    );
    for (const problem of problems) this.context.stderr.write(`${problem}\n`);
    return problems.length === 0 ? ExitCode.Success : ExitCode.Failure;
  }
}

function describeAsJson(fleet: Fleet): string {
  const routers = fleet.routers.map(({ name, address }) => ({
    name,
    http: formatAddress(address),
  }));
  const backends = [...fleet.backendControls].map(([name, address]) => ({
    name,
    control: formatAddress(address),
  }));
  const { variables } = fleet.operator;
  return `${JSON.stringify({ folder: fleet.terms.folder, routers, backends, variables })}\n`;
}

function describe(fleet: Fleet): string {
  const { variables } = fleet.operator;
  const lines = [
    ...fleet.routers.map((router) => `router    ${describeRouter(router)}`),
    ...[...fleet.backendControls].map(
      ([name, address]) => `back ends ${name} control port ${formatAddress(address)}`,
    ),
    `files     ${fleet.terms.folder}`,
    'for operator commands:',
    ...Object.entries(variables).map(([name, value]) => `  export ${name}=${value}`),
    'stop with Ctrl-C',
  ];
  return `${lines.join('\n')}\n`;
}
