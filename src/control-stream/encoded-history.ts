/** Frames of the configuration and its latest changes, each encoded once for all subscribers. */
import type { Disposable } from '@most/types';
import { MAXIMUM_FRAME_BYTES } from '../seams/message-connection.js';
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { ConfigurationFeed } from './configuration-feed.js';
import { observe } from './observe.js';
import { hashConfiguration } from './state-hash.js';
import { STREAM_CODEC } from './stream-messages.js';

/**
 * Payload of one snapshot chunk. At 22 kB/s or more, each chunk arrives before
 * the daemon considers its source silent (`SOURCE_SILENCE_MS`). Bytes.
 */
export const SNAPSHOT_CHUNK_BYTES = 64 * 1024;

/**
 * Maximum number of changes kept as frames; a daemon further behind gets the
 * whole configuration.
 */
export const ENCODED_CHANGES = 256;

interface EncodedDelta {
  readonly revision: number;
  readonly frame: Uint8Array;
}

/** Limits of an {@link EncodedHistory}; tests set small ones. */
export interface EncodedHistoryOptions {
  readonly chunkBytes: number;
  readonly changes: number;
}

/** Follows the feed of one controller until disposed of. */
export class EncodedHistory {
  private deltas: EncodedDelta[] = [];
  private snapshot: readonly Uint8Array[] | undefined;
  private hash: string;
  private readonly subscriptions: readonly Disposable[];

  constructor(
    private readonly feed: ConfigurationFeed,
    private readonly onChange: () => void,
    private readonly options: EncodedHistoryOptions = {
      chunkBytes: SNAPSHOT_CHUNK_BYTES,
      changes: ENCODED_CHANGES,
    },
  ) {
    this.hash = hashConfiguration(feed.current());
    this.subscriptions = [
      observe(feed.accepted, (change) => this.addChange(change)),
      observe(feed.restored, () => this.reset()),
    ];
  }

  get revision(): number {
    return this.feed.current().revision;
  }

  get stateHash(): string {
    return this.hash;
  }

  /**
   * Frames that bring a daemon from `heldRevision` to the current revision: its
   * changes, or a snapshot where some are no longer kept. Empty when the daemon
   * is at the current revision or above.
   */
  framesAfter(heldRevision: number): readonly Uint8Array[] {
    if (heldRevision >= this.revision) return [];
    const missing = this.deltas.filter(({ revision }) => revision > heldRevision);
    const consecutive = missing.length === this.revision - heldRevision;
    return consecutive ? missing.map(({ frame }) => frame) : this.snapshotFrames();
  }

  /** Frames of the whole current configuration. */
  snapshotFrames(): readonly Uint8Array[] {
    this.snapshot ??= this.encodeSnapshot();
    return this.snapshot;
  }

  dispose(): void {
    for (const subscription of this.subscriptions) subscription.dispose();
  }

  private addChange(change: AcceptedChange): void {
    this.hash = hashConfiguration(this.feed.current());
    this.snapshot = undefined;
    const frame = STREAM_CODEC.encode({
      kind: 'delta',
      revision: change.revision,
      stateHash: this.hash,
      change: Buffer.from(JSON.stringify(change)),
    });
    this.deltas.push({ revision: change.revision, frame });
    if (this.deltas.length > this.options.changes) this.deltas.shift();
    // A change too large for one frame is sent as a snapshot, whose chunks are bounded.
    if (frame.length > MAXIMUM_FRAME_BYTES) this.deltas = [];
    this.onChange();
  }

  private reset(): void {
    this.hash = hashConfiguration(this.feed.current());
    this.deltas = [];
    this.snapshot = undefined;
    this.onChange();
  }

  private encodeSnapshot(): readonly Uint8Array[] {
    const state = this.feed.current();
    const bytes = Buffer.from(JSON.stringify(state));
    const frames = [
      STREAM_CODEC.encode({
        kind: 'snapshotBegin',
        revision: state.revision,
        stateHash: this.hash,
        totalBytes: bytes.length,
      }),
    ];
    for (let offset = 0; offset < bytes.length; offset += this.options.chunkBytes) {
      const chunk = bytes.subarray(offset, offset + this.options.chunkBytes);
      frames.push(STREAM_CODEC.encode({ kind: 'snapshotChunk', bytes: chunk }));
    }
    return frames;
  }
}
