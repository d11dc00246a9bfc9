/** A state machine whose state is the newest command, so that it stays small however many there are. */
import { HistoryMachine } from './history-machine.js';

/** Characters of a command that tell it from others. */
const LABEL_CHARACTERS = 32;

export class LatestCommandMachine extends HistoryMachine {
  override apply(command: Uint8Array, index: number): Uint8Array {
    this.commands = [];
    const label = Buffer.from(command.subarray(0, LABEL_CHARACTERS));
    super.apply(label, index);
    this.commands = [Buffer.from(command).toString('latin1')];
    return label;
  }
}
