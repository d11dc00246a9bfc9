/** What all operator commands share: whom to ask, with which token, and how to print. */
import { Command, Option, type BaseContext } from 'clipanion';
import { createNodeEnvironment } from '../node/node-environment.js';
import { readTextFile } from '../node/read-text-file.js';
import { formatError } from '../operator/format-error.js';
import { OperatorClient } from '../operator/operator-client.js';
import { OperatorError, OperatorExitCode, usageError } from '../operator/operator-error.js';
import { parseAddress, type Address } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';

/** Longest wait for one controller, unless a command says otherwise. Milliseconds. */
const LONGEST_ATTEMPT_MS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Base of every command that talks to the administration API. */
export abstract class OperatorCommand extends Command<BaseContext> {
  controllers = Option.Array('--controller', {
    description: 'A controller, as host:port; repeatable (DRIFTWAY_CONTROLLERS, comma-separated)',
  });
  token = Option.String('--token', {
    env: 'DRIFTWAY_TOKEN',
    description: 'Bearer token; better given as DRIFTWAY_TOKEN, which other users cannot see',
  });
  timeout = Option.String('--timeout', '15', { description: 'Give up after this many seconds' });
  json = Option.Boolean('--json', false, { description: 'Print the answer as JSON' });

  protected readonly environment: Environment = createNodeEnvironment();

  /** Returned when {@link OperatorCommand.run} does not throw. */
  protected exitCode = OperatorExitCode.Success;

  /** Longest wait for one controller. Milliseconds. */
  protected readonly longestAttemptMs: number = LONGEST_ATTEMPT_MS;

  /** The command's work; its answer is printed. */
  protected abstract run(client: OperatorClient): Promise<unknown>;

  /** The answer as a person wants to read it. */
  protected abstract format(answer: unknown): string;

  override async execute(): Promise<number> {
    let client: OperatorClient | undefined;
    try {
      client = this.createClient();
      this.print(await this.run(client));
      return this.exitCode;
    } catch (error) {
      if (!(error instanceof OperatorError)) throw error;
      this.printError(error);
      return error.exitCode;
    } finally {
      client?.close();
    }
  }

  /** A number given as a flag. */
  protected numberOf(flag: string, text: string): number {
    const value = text.trim() === '' ? Number.NaN : Number(text);
    if (Number.isFinite(value) && value >= 0) return value;
    throw usageError(`${flag} takes a number, not ${text}`);
  }

  /** @throws OperatorError when the file cannot be read. */
  protected async readFile(file: string): Promise<string> {
    try {
      return await readTextFile(file);
    } catch (error) {
      throw usageError(error instanceof Error ? error.message : String(error));
    }
  }

  protected print(answer: unknown): void {
    const text = this.json ? `${JSON.stringify(answer, undefined, 2)}\n` : this.format(answer);
    this.context.stdout.write(text);
  }

  private printError(error: OperatorError): void {
    if (this.json) this.context.stdout.write(`${JSON.stringify({ error: error.error })}\n`);
    this.context.stderr.write(formatError(error));
  }

  /** A client of `controllers`, asked in that order; once each, or until time is up. */
  protected createClient(controllers = this.addresses(), insist = true): OperatorClient {
    const { clock, network } = this.environment;
    const totalTimeoutMs = this.numberOf('--timeout', this.timeout) * MILLISECONDS_PER_SECOND;
    return new OperatorClient(network, clock, {
      controllers,
      token: this.token,
      attemptTimeoutMs: Math.min(this.longestAttemptMs, totalTimeoutMs),
      totalTimeoutMs: insist ? totalTimeoutMs : 0,
    });
  }

  /** The controllers that the command line or the environment names. */
  protected addresses(): Address[] {
    const fromEnvironment = this.context.env['DRIFTWAY_CONTROLLERS']?.split(',') ?? [];
    const texts = (this.controllers ?? fromEnvironment).map((text) => text.trim());
    try {
      return texts.filter((text) => text !== '').map(parseAddress);
    } catch (error) {
      throw usageError((error as Error).message);
    }
  }
}
