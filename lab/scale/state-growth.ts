/**
 * How the replicated state grows, read from the real state machine and the real
 * encodings in this process: deterministic, so it is counted and not sampled.
 */
import { EncodedHistory } from '../../src/control-stream/encoded-history.js';
import type { Operation } from '../../src/settings/change.js';
import { encodeCommand } from '../../src/settings/configuration-command.js';
import { ConfigurationStateMachine } from '../../src/settings/configuration-state-machine.js';
import { scaleConfiguration, settingChange } from './scale-configuration.js';
import { fitSlopes, type Slope } from './slope.js';

/** Sizes of the series. */
export interface GrowthSizes {
  readonly replicas: readonly number[];
  /** Changes after the configuration was made. */
  readonly changes: readonly number[];
  readonly zones: number;
}

/** The state at one number of replicas. Bytes. */
export interface ReplicaGrowth {
  readonly replicas: number;
  /** What a daemon that holds nothing is sent. */
  readonly streamSnapshotBytes: number;
  /** What a daemon is sent for one change of a setting. */
  readonly deltaBytes: number;
}

/** The controllers' own snapshot after a number of changes. Bytes. */
export interface ChangeGrowth {
  readonly changes: number;
  readonly snapshotBytes: number;
  /** Payloads of the log records of these changes. */
  readonly logPayloadBytes: number;
}

/** Both series. */
export interface StateGrowth {
  readonly overReplicas: readonly ReplicaGrowth[];
  readonly overChanges: readonly ChangeGrowth[];
  readonly slopes: readonly Slope[];
}

/** Times have as many digits as real ones. */
const ACCEPTED_AT = 1_790_000_000_000;

/** A state machine that is fed as the log would feed it. */
class FedMachine {
  readonly machine = new ConfigurationStateMachine();
  payloadBytes = 0;
  private applied = 0;

  apply(operations: readonly Operation[]): void {
    this.applied += 1;
    const command = encodeCommand({
      kind: 'change',
      principal: { kind: 'bootstrap' },
      at: ACCEPTED_AT + this.applied,
      request: {
        changeId: `scale-change-${this.applied}`,
        baseRevision: this.machine.current().revision,
        author: 'scale',
        reason: 'measurement',
        operations: [...operations],
      },
    });
    this.payloadBytes += command.length;
    this.machine.apply(command, this.applied);
  }
}

function createMachine(replicas: number, zones: number): FedMachine {
  const fed = new FedMachine();
  for (const operations of scaleConfiguration(replicas, zones)) fed.apply(operations);
  return fed;
}

function totalLength(frames: readonly Uint8Array[]): number {
  return frames.reduce((total, frame) => total + frame.length, 0);
}

function readReplicaGrowth(replicas: number, zones: number): ReplicaGrowth {
  const fed = createMachine(replicas, zones);
  const history = new EncodedHistory(fed.machine, () => undefined);
  const streamSnapshotBytes = totalLength(history.snapshotFrames());
  const { revision } = fed.machine.current();
  fed.apply(settingChange(0));
  const deltaBytes = totalLength(history.framesAfter(revision));
  history.dispose();
  return { replicas, streamSnapshotBytes, deltaBytes };
}

function readChangeGrowth({ changes: counts, zones, replicas }: GrowthSizes): ChangeGrowth[] {
  const fed = createMachine(replicas[0] ?? 1, zones);
  const payloadBefore = fed.payloadBytes;
  let made = 0;
  return counts.map((changes) => {
    for (; made < changes; made += 1) fed.apply(settingChange(made));
    return {
      changes,
      snapshotBytes: fed.machine.snapshot().length,
      logPayloadBytes: fed.payloadBytes - payloadBefore,
    };
  });
}

/** Counts both series. */
export function measureStateGrowth(sizes: GrowthSizes): StateGrowth {
  const overReplicas = sizes.replicas.map((count) => readReplicaGrowth(count, sizes.zones));
  const overChanges = readChangeGrowth(sizes);
  const unit = 'bytes';
  return {
    overReplicas,
    overChanges,
    slopes: [
      ...fitSlopes(overReplicas, 'replicas', ({ replicas }) => replicas, [
        { quantity: 'stream snapshot', unit, read: (growth) => growth.streamSnapshotBytes },
        { quantity: 'delta of one setting', unit, read: (growth) => growth.deltaBytes },
      ]),
      ...fitSlopes(overChanges, 'changes', ({ changes }) => changes, [
        { quantity: 'controller snapshot', unit, read: (growth) => growth.snapshotBytes },
        { quantity: 'log record payloads', unit, read: (growth) => growth.logPayloadBytes },
      ]),
    ],
  };
}
