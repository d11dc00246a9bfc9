/** What commands share that work on daemons' log lines. */
import { text as readStream } from 'node:stream/consumers';
import { Command } from 'clipanion';
import { readLogLines, type LoggedLine } from '../explain/log-line.js';
import { readTextFile } from '../node/read-text-file.js';

/** See the module comment. */
export abstract class LogCommand extends Command {
  /**
   * The lines of the files, or of standard input when none is named; undefined,
   * after saying why, when a file cannot be read.
   */
  protected async readLines(files: readonly string[]): Promise<readonly LoggedLine[] | undefined> {
    try {
      return readLogLines(await this.readText(files));
    } catch (error) {
      this.context.stderr.write(`cannot read the log: ${String(error)}\n`);
      return undefined;
    }
  }

  /** Prints `text`, or `value` as JSON where that is asked for. */
  protected print(asJson: boolean, value: object, text: string): void {
    this.context.stdout.write(asJson ? `${JSON.stringify(value, null, 2)}\n` : text);
  }

  private async readText(files: readonly string[]): Promise<string> {
    if (files.length === 0) return readStream(this.context.stdin);
    const texts = await Promise.all(files.map((file) => readTextFile(file)));
    return texts.join('\n');
  }
}
