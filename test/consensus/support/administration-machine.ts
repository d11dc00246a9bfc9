/** The configuration as the controllers hold it, with every command noted as well. */
import { ConfigurationStateMachine } from '../../../src/settings/configuration-state-machine.js';
import { HistoryMachine } from './history-machine.js';

export class AdministrationMachine extends HistoryMachine {
  readonly configuration = new ConfigurationStateMachine();

  override apply(command: Uint8Array, index: number): Uint8Array {
    super.apply(command, index);
    return this.configuration.apply(command, index);
  }

  override snapshot(): Uint8Array {
    const configuration = Buffer.from(this.configuration.snapshot()).toString('base64');
    return Buffer.from(JSON.stringify({ commands: this.commands, configuration }));
  }

  override restore(snapshot: Uint8Array): void {
    const text = Buffer.from(snapshot).toString('utf8');
    const stored = JSON.parse(text) as { commands: string[]; configuration: string };
    this.commands = stored.commands;
    this.configuration.restore(Buffer.from(stored.configuration, 'base64'));
  }
}
