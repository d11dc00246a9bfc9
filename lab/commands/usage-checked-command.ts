/** A command whose options are checked as it runs: a `RangeError` is a mistake of whoever called it. */
import { Command } from 'clipanion';

const EXIT_USAGE = 2;

export abstract class UsageCheckedCommand extends Command {
  async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (!(error instanceof RangeError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      return EXIT_USAGE;
    }
  }

  /**
   * Gives the exit code.
   *
   * @throws RangeError naming what is wrong with an option.
   */
  protected abstract run(): Promise<number>;
}
