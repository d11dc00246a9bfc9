/** A daemon that one of the package's own commands starts, without a bound on its memory. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Address } from '../../src/seams/address.js';
import { DeployedProcess, type DeployedEnd } from '../deployed/deployed-process.js';
import type { ProcessGuard } from '../deployed/process-guard.js';
import { programArguments } from '../fleet/program.js';
import type { SoakMachine } from './soak-daemon.js';

/** What to start. */
export interface CommandMachineOptions {
  readonly command: 'controller' | 'gateway';
  readonly name: string;
  readonly address: Address;
  readonly settings: object;
  /** Of settings and logs. */
  readonly folder: string;
  readonly guard: ProcessGuard;
  /** Told of each end. */
  readonly onEnd: (end: DeployedEnd) => void;
}

/** See the module comment. */
export class CommandMachine implements SoakMachine {
  readonly settingsText: string;
  private readonly settingsFile: string;

  constructor(private readonly options: CommandMachineOptions) {
    const { folder, name, settings } = options;
    this.settingsText = JSON.stringify(settings, undefined, 2);
    this.settingsFile = join(folder, `${name}.yaml`);
  }

  get name(): string {
    return this.options.name;
  }

  get address(): Address {
    return this.options.address;
  }

  async writeSettings(text: string): Promise<void> {
    await writeFile(this.settingsFile, text);
  }

  spawn(): DeployedProcess {
    const { command, name, folder, guard, onEnd } = this.options;
    const started = new DeployedProcess({
      name,
      nodeArguments: programArguments('driftway', [command, '--config', this.settingsFile]),
      environment: { PATH: process.env['PATH'] ?? '' },
      folder: process.cwd(),
      logFile: join(folder, `${name}.log`),
      memoryLimitBytes: Infinity,
      guard,
    });
    void started.ended.then(onEnd);
    return started;
  }
}
