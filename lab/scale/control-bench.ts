/** The processes of one control run: real controllers and processes of hollow daemons. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { OperatorClient } from '../../src/operator/operator-client.js';
import { parseAddress } from '../../src/seams/address.js';
import type { Operation } from '../../src/settings/change.js';
import { MeasuredChild } from '../measure/child-process.js';
import { createClusterFiles, type ClusterFiles } from './cluster-files.js';
import type { ControllerChildOperations } from './controller-child.js';
import type { DaemonChildOperations, RevisionArrivals } from './daemon-child.js';
import { scaleConfiguration } from './scale-configuration.js';
import { readSharedClock } from './shared-clock.js';

const DAEMONS_PER_PROCESS = 100;
/** Daemons with a process of their own, for times that no other daemon's work lengthens. */
export const LONE_DAEMONS = 3;
/** Longest wait for a leader, for a change, or until a revision is in force everywhere. Milliseconds. */
const PATIENCE = 60_000;
const ATTEMPT_TIMEOUT = 10_000;
const LOOK_INTERVAL = 50;

/** Sizes of one run. */
export interface ControlSize {
  /** One in each zone; all vote. */
  readonly controllers: number;
  readonly daemons: number;
  /** Replicas in the configuration. */
  readonly replicas: number;
}

/** One change as the operator saw it. By the shared clock, milliseconds. */
export interface MadeChange {
  readonly revision: number;
  readonly sentAt: number;
  readonly acceptedAt: number;
}

/** Running processes; {@link ControlBench.stop} ends them all and removes their data. */
export class ControlBench {
  readonly controllers: MeasuredChild<ControllerChildOperations>[] = [];
  /** Processes of many daemons each. */
  readonly sharedDaemons: MeasuredChild<DaemonChildOperations>[] = [];
  /** Processes of one daemon each; part of the number of daemons. */
  readonly loneDaemons: MeasuredChild<DaemonChildOperations>[] = [];
  private readonly operator: OperatorClient;
  private revision = 0;

  private constructor(
    readonly size: ControlSize,
    private readonly files: ClusterFiles,
    private readonly folder: string,
  ) {
    const { network, clock } = createNodeEnvironment();
    this.operator = new OperatorClient(network, clock, {
      controllers: files.controllers.map(({ listen }) => parseAddress(listen.http)),
      token: files.token,
      attemptTimeoutMs: ATTEMPT_TIMEOUT,
      totalTimeoutMs: PATIENCE,
    });
  }

  /** Starts the controllers and makes the configuration; daemons come after. */
  static async start(size: ControlSize): Promise<ControlBench> {
    const folder = await mkdtemp(join(tmpdir(), 'driftway-scale-'));
    const files = await createClusterFiles(size.controllers, folder);
    const bench = new ControlBench(size, files, folder);
    try {
      await bench.startControllers();
      for (const operations of scaleConfiguration(size.replicas, size.controllers)) {
        await bench.change(operations);
      }
      return bench;
    } catch (error) {
      await bench.stop();
      throw error;
    }
  }

  /** Starts all daemons at once; returns the time until all hold the configuration. Milliseconds. */
  async startDaemons(): Promise<number> {
    const { daemons } = this.size;
    const startedAt = readSharedClock();
    const lone = Math.min(LONE_DAEMONS, daemons);
    for (let index = 0; index < lone; index += 1) {
      this.loneDaemons.push(await this.startDaemonProcess(index, 1));
    }
    for (let firstIndex = lone; firstIndex < daemons; firstIndex += DAEMONS_PER_PROCESS) {
      const count = Math.min(DAEMONS_PER_PROCESS, daemons - firstIndex);
      this.sharedDaemons.push(await this.startDaemonProcess(firstIndex, count));
    }
    await this.waitUntilInForce();
    return readSharedClock() - startedAt;
  }

  /** Makes one change on the newest revision. */
  async change(operations: readonly Operation[]): Promise<MadeChange> {
    const sentAt = readSharedClock();
    const { revision } = await this.operator.post<{ revision: number }>('/v1/changes', {
      changeId: `scale-change-${this.revision + 1}`,
      baseRevision: this.revision,
      author: 'scale',
      reason: 'measurement',
      operations,
    } as { changeId: string });
    this.revision = revision;
    return { revision, sentAt, acceptedAt: readSharedClock() };
  }

  /** @throws Error when the newest revision is not in force everywhere in time. */
  async waitUntilInForce(): Promise<void> {
    const deadline = readSharedClock() + PATIENCE;
    for (;;) {
      const counts = await Promise.all(
        this.daemonProcesses.map((child) => child.call('countAt', this.revision)),
      );
      const held = counts.reduce((total, count) => total + count, 0);
      if (held === this.size.daemons) return;
      if (readSharedClock() > deadline) {
        throw new Error(`revision ${this.revision} is in force at ${held} of ${this.size.daemons}`);
      }
      await sleep(LOOK_INTERVAL);
    }
  }

  /** When each revision came in force since the last call, apart for the two kinds of processes. */
  async takeArrivals(): Promise<{ shared: RevisionArrivals[]; lone: RevisionArrivals[] }> {
    const [shared, lone] = await Promise.all(
      [this.sharedDaemons, this.loneDaemons].map((children) =>
        Promise.all(children.map((child) => child.call('takeArrivals', undefined))),
      ),
    );
    return { shared: shared?.flat() ?? [], lone: lone?.flat() ?? [] };
  }

  async stop(): Promise<void> {
    this.operator.close();
    await Promise.all([...this.daemonProcesses, ...this.controllers].map((child) => child.stop()));
    await rm(this.folder, { recursive: true, force: true });
  }

  private get daemonProcesses(): MeasuredChild<DaemonChildOperations>[] {
    return [...this.loneDaemons, ...this.sharedDaemons];
  }

  private async startDaemonProcess(
    firstIndex: number,
    count: number,
  ): Promise<MeasuredChild<DaemonChildOperations>> {
    const child = new MeasuredChild<DaemonChildOperations>({
      module: new URL('./daemon-child.js', import.meta.url),
    });
    const { cluster, controllers } = this.files;
    const zones = this.size.controllers;
    await child.call('start', { firstIndex, count, zones, files: { cluster, controllers } });
    return child;
  }

  private async startControllers(): Promise<void> {
    for (const file of this.files.controllers) {
      const child = new MeasuredChild<ControllerChildOperations>({
        module: new URL('./controller-child.js', import.meta.url),
      });
      this.controllers.push(child);
      await child.call('start', file);
    }
  }
}
