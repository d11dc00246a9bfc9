/** One controller as a process of its own, with a data folder that outlives it. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import type { Address } from '../../src/seams/address.js';
import { formatAddress } from '../../src/seams/address.js';

const DRIFTWAY = fileURLToPath(new URL('../../../bin/driftway.js', import.meta.url));
/** Characters of its log that are kept. */
const KEPT_LOG = 100_000;

/** Where it runs and who it is. */
export interface ControllerOptions {
  readonly memberId: string;
  readonly folder: string;
  readonly http: Address;
  readonly messages: Address;
  readonly join: boolean;
  /** What all controllers of the group share in their settings files. */
  readonly shared: Readonly<Record<string, unknown>>;
}

export class ControllerProcess {
  private child: ChildProcess | undefined;
  private exited: Promise<number | null> = Promise.resolve(null);
  private log = '';

  constructor(readonly options: ControllerOptions) {}

  get dataFolder(): string {
    return join(this.options.folder, this.options.memberId);
  }

  get running(): boolean {
    return this.child !== undefined;
  }

  /** Writes the settings file and starts the process. */
  async start(): Promise<void> {
    const { memberId, folder, http, messages, join: joins, shared } = this.options;
    await mkdir(folder, { recursive: true });
    const file = join(folder, `${memberId}.yaml`);
    const settings = {
      ...shared,
      memberId,
      join: joins,
      dataFolder: this.dataFolder,
      listen: { http: formatAddress(http), messages: formatAddress(messages) },
      log: { format: 'json' },
    };
    await writeFile(file, stringify(settings));
    this.log = '';
    const child = spawn(process.execPath, [DRIFTWAY, 'controller', '--config', file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    child.stdout.on('data', (chunk: Buffer) => {
      this.log = (this.log + chunk.toString('utf8')).slice(-KEPT_LOG);
    });
    this.child = child;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        if (this.child === child) this.child = undefined;
        resolve(code);
      });
    });
  }

  /** Kill -9 of this process, and waits for its end. */
  async kill(): Promise<void> {
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  /** A planned stop. */
  async stop(): Promise<void> {
    this.child?.kill('SIGTERM');
    await this.exited;
  }

  /** Waits for it to end by itself, and gives its exit code and the reason it logged. */
  async refusal(): Promise<{ readonly exitCode: number | null; readonly reason: string }> {
    const exitCode = await this.exited;
    const lines = this.log.split('\n').filter((line) => line.includes('"reason"'));
    const last = JSON.parse(lines.at(-1) ?? '{}') as { context?: { reason?: string } };
    return { exitCode, reason: last.context?.reason ?? '' };
  }

  /** Loses the disk. */
  async wipe(): Promise<void> {
    await rm(this.dataFolder, { recursive: true, force: true });
  }
}
