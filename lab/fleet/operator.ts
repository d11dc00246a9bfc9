/** Runs operator commands of `driftway` against a fleet, as an operator would. */
import { execFile } from 'node:child_process';
import { formatAddress, type Address } from '../../src/seams/address.js';
import { programArguments } from './program.js';

/** Longest time for one command. Milliseconds. */
const COMMAND_TIMEOUT = 30_000;

/** What a command printed and how it ended. */
export interface CommandOutcome {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** An operator with every right. */
export class Operator {
  constructor(
    /** HTTP addresses of the controllers. */
    readonly controllers: readonly Address[],
    readonly token: string,
    /** Ends a running command. */
    private readonly signal: AbortSignal,
  ) {}

  /** The variables a person sets to run the same commands. */
  get variables(): Readonly<Record<string, string>> {
    return {
      DRIFTWAY_CONTROLLERS: this.controllers.map(formatAddress).join(','),
      DRIFTWAY_TOKEN: this.token,
    };
  }

  /** Runs `driftway` with these arguments; a failure is an outcome, not an error. */
  run(...commandLine: string[]): Promise<CommandOutcome> {
    return new Promise((resolve) => {
      const options = {
        env: { ...process.env, ...this.variables },
        timeout: COMMAND_TIMEOUT,
        signal: this.signal,
        maxBuffer: 64 * 1024 * 1024,
      };
      execFile(
        process.execPath,
        programArguments('driftway', commandLine),
        options,
        (error, stdout, stderr) => {
          const exitCode = error === null ? 0 : typeof error.code === 'number' ? error.code : -1;
          resolve({ exitCode, stdout, stderr });
        },
      );
    });
  }

  /**
   * Runs a command that must succeed and returns its standard output.
   *
   * @throws Error with what the command said.
   */
  async require(...commandLine: string[]): Promise<string> {
    const { exitCode, stdout, stderr } = await this.run(...commandLine);
    if (exitCode === 0) return stdout;
    throw new Error(`driftway ${commandLine.join(' ')} exited with ${exitCode}\n${stderr}`);
  }
}
