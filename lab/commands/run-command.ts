/** A command that does one run and ends, as against a daemon. */
import { ConfiguredCommand } from '../../src/commands/configured-command.js';
import { ExitCode } from '../../src/commands/daemon-process.js';

/** Tells in one line why a run could not be finished, and exits with {@link ExitCode.Failure}. */
export abstract class RunCommand extends ConfiguredCommand {
  override async execute(): Promise<ExitCode> {
    try {
      return await super.execute();
    } catch (error) {
      if (!(error instanceof Error)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      return ExitCode.Failure;
    }
  }

  protected print(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }
}
