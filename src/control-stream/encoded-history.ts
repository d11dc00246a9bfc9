/** The configuration and its latest changes as frames, each encoded once for all subscribers. */
import type { Disposable } from '@most/types';
import { MAXIMUM_FRAME_BYTES } from '../seams/message-connection.js';
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { ConfigurationFeed } from './configuration-feed.js';
import { observe } from './observe.js';
import { hashConfiguration } from './state-hash.js';
import { STREAM_CODEC } from './stream-messages.js';

/**
 * Payload of one chunk: at 22 kB/s a daemon still hears of its source before
 * it takes it for silent. Bytes.
 */
export const SNAPSHOT_CHUNK_BYTES = 64 * 1024;

/** Most changes kept as frames; a daemon further behind gets the whole configuration. */
export const ENCODED_CHANGES = 256;

interface EncodedDelta {
  readonly revision: number;
  readonly frame: Uint8Array;
}

/** Bounds that tests make small. */
export interface EncodedHistoryOptions {
  readonly chunkBytes: number;
  readonly changes: number;
}

/** Frames of one controller. */
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

  /** What takes a daemon from `heldRevision` to the present one; empty when it is there or beyond. */
  framesAfter(heldRevision: number): readonly Uint8Array[] {
    if (heldRevision >= this.revision) return [];
    const missing = this.deltas.filter(({ revision }) => revision > heldRevision);
    const consecutive = missing.length === this.revision - heldRevision;
    return consecutive ? missing.map(({ frame }) => frame) : this.snapshotFrames();
  }

  /** The whole present configuration. */
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
    // Whoever needs this one gets the whole configuration in chunks instead.
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
