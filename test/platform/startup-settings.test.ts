import { describe, expect, it } from 'vitest';
import { controllerConfigurationOf } from '../../platform/controller-settings.js';
import { gatewayConfigurationOf } from '../../platform/gateway-settings.js';
import { waitForSettings } from '../../platform/startup-settings.js';
import type { LogFields, Logger } from '../../src/observability/logger.js';
import { Simulation } from '../../lab/simulation/simulation.js';

const WHOLE = JSON.stringify({
  NodeName: 'front-1',
  Serves: ['front'],
  Ip: '10.1.0.12',
  zone: 'pnw-a',
  InternalPorts: [7380],
  SeedNodes: ['10.1.0.12:8106'],
  DataDir: '/data/core',
  ListenAddresses: { Front: '10.1.0.12:8104', Ready: '10.1.0.12:8108', Control: '10.1.0.12:8106' },
  Bounds: {},
});
const WITHOUT_ADDRESSES = JSON.stringify({ ...JSON.parse(WHOLE), ListenAddresses: {} });
const MISSING = undefined;
const WAIT_MS = 10_000;

/** A settings file that a test rewrites, and the lines that are logged over it. */
class SettingsFile {
  readonly lines: string[] = [];
  readonly stop = new AbortController();
  private readonly simulation = new Simulation(1);

  constructor(public content: string | undefined) {}

  wait<T>(use: Parameters<typeof waitForSettings<T>>[2]): Promise<T> {
    const { clock } = this.simulation.createMachine('front-1', 'pnw-a').environment;
    const note = (message: string, fields?: LogFields): void => {
      this.lines.push(`${message}${fields?.['reason'] === undefined ? '' : ': reason'}`);
    };
    const logger: Logger = { info: note, warn: note, error: note, child: () => logger };
    return waitForSettings({ clock, logger, stopped: this.stop.signal }, () => this.read(), use);
  }

  runFor(milliseconds: number): Promise<void> {
    return this.simulation.runFor(milliseconds);
  }

  private async read(): Promise<string> {
    if (this.content === undefined) throw new Error('ENOENT: no such file or directory');
    return this.content;
  }
}

describe('a process whose settings file is not whole when it starts', () => {
  const starts = [
    ['half written', WHOLE.slice(0, WHOLE.length / 2)],
    ['empty', ''],
    ['missing', MISSING],
    ['whole and wrong', WITHOUT_ADDRESSES],
  ] as const;
  for (const [state, content] of starts) {
    it(`waits until a file that is ${state} is replaced, with one line`, async () => {
      const file = new SettingsFile(content);
      const waiting = file.wait(async (settings) => [
        gatewayConfigurationOf(settings).name,
        controllerConfigurationOf(settings).dataFolder,
      ]);
      await file.runFor(WAIT_MS);
      expect(file.lines).toEqual(['settings not usable yet: reason']);
      file.content = WHOLE;
      await file.runFor(WAIT_MS);
      expect(await waiting).toEqual(['front-1', '/data/core']);
      expect(file.lines).toEqual(['settings not usable yet: reason', 'settings read']);
    });
  }

  it('ends its wait when it is told to stop', async () => {
    const file = new SettingsFile('');
    const waiting = file.wait(async () => undefined);
    const ended = expect(waiting).rejects.toThrow('stopped by SIGTERM');
    await file.runFor(WAIT_MS);
    file.stop.abort(new Error('stopped by SIGTERM'));
    await file.runFor(WAIT_MS);
    await ended;
  });
});
