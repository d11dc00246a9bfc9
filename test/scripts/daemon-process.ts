/** Test fixture: a daemon as the platform runs it, from the bundle. */
import { spawn, type ChildProcessByStdio } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable } from 'node:stream';

const HOST = '127.0.0.1';

/** Settings of a gateway on ports that the system picks, which reaches no controller. */
export const GATEWAY_SETTINGS = JSON.stringify({
  NodeName: 'front-1',
  Serves: ['front'],
  Ip: HOST,
  zone: 'pnw-a',
  InternalPorts: [0],
  SeedNodes: [`${HOST}:1`],
  ListenAddresses: { Front: `${HOST}:0`, Ready: `${HOST}:0` },
  Bounds: {},
});

/** One process and its settings file. */
export class DaemonProcess {
  private output = '';
  private readonly waiting = new Set<() => void>();
  /** Exit code or signal. */
  readonly ended: Promise<number | NodeJS.Signals | null>;

  private constructor(
    private readonly child: ChildProcessByStdio<null, Readable, null>,
    private readonly folder: string,
  ) {
    child.stdout.on('data', (chunk: Buffer) => {
      this.output += chunk.toString();
      for (const check of this.waiting) check();
    });
    this.ended = new Promise((resolve) => {
      child.once('close', (code, signal) => resolve(code ?? signal));
    });
  }

  /** @param settings - content of the settings file; absent: there is none. */
  static async start(settings?: string): Promise<DaemonProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'driftway-daemon-'));
    const path = join(folder, 'settings');
    if (settings !== undefined) await writeFile(path, settings);
    const child = spawn(process.execPath, ['target/driftway/main.cjs'], {
      env: { ...process.env, DRIFTWAY_BOOT: path },
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    return new DaemonProcess(child, folder);
  }

  writeSettings(settings: string): Promise<void> {
    return writeFile(join(this.folder, 'settings'), settings);
  }

  /** Resolves once a line with `text` was logged; rejects when the process ends first. */
  async logged(text: string): Promise<void> {
    const isLogged = new Promise<true>((resolve) => {
      const check = (): void => {
        if (this.output.includes(text)) resolve(true);
      };
      this.waiting.add(check);
      check();
    });
    const end = await Promise.race([isLogged, this.ended]);
    if (end !== true) throw new Error(`ended (${end}) before "${text}": ${this.output}`);
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  async remove(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended;
    await rm(this.folder, { recursive: true });
  }
}
