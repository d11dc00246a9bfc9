/** A command that runs a process from a settings file. */
import { Command } from 'clipanion';
import { ConfigurationError } from '../configuration/configuration-error.js';
import { ExitCode } from './daemon-process.js';

/** Prints every problem of a wrong settings file and exits with {@link ExitCode.BadConfiguration}. */
export abstract class ConfiguredCommand extends Command {
  override async execute(): Promise<ExitCode> {
    try {
      return await this.runConfigured();
    } catch (error) {
      if (!(error instanceof ConfigurationError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      return ExitCode.BadConfiguration;
    }
  }

  /**
   * Reads the settings file and runs to the end.
   *
   * @throws ConfigurationError when the file or a flag is wrong.
   */
  protected abstract runConfigured(): Promise<ExitCode>;
}
