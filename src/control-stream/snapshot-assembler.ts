/** Assembles the chunks of a configuration, up to a size limit. */
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import type { SnapshotBeginMessage, SnapshotChunkMessage } from './stream-messages.js';

/** Largest configuration that a daemon accepts. Bytes of JSON. */
export const MAXIMUM_CONFIGURATION_BYTES = 64 * 1024 * 1024;

/** A completely received configuration and the hash that its source announced. */
export interface AssembledSnapshot {
  readonly state: ConfigurationState;
  readonly stateHash: string;
}

/** Assembles one snapshot at a time; a new announcement discards an incomplete one. */
export class SnapshotAssembler {
  private announced: SnapshotBeginMessage | undefined;
  private chunks: Uint8Array[] = [];
  private receivedBytes = 0;

  constructor(private readonly peer: string) {}

  /** @throws MalformedMessageError when the announced size is out of bounds. */
  begin(message: SnapshotBeginMessage): void {
    const { totalBytes } = message;
    if (totalBytes < 1 || totalBytes > MAXIMUM_CONFIGURATION_BYTES) {
      throw this.malformed(`a configuration of ${totalBytes} bytes is outside the allowed size`);
    }
    this.announced = message;
    this.chunks = [];
    this.receivedBytes = 0;
  }

  /**
   * Adds a chunk; returns the configuration once it is complete.
   *
   * @throws MalformedMessageError when no snapshot was announced, when there are more bytes than
   * announced, or when the text is not a configuration of the announced revision.
   */
  add(message: SnapshotChunkMessage): AssembledSnapshot | undefined {
    const { announced } = this;
    if (announced === undefined)
      throw this.malformed('expected a snapshot announcement before its chunks');
    this.chunks.push(message.bytes);
    this.receivedBytes += message.bytes.length;
    if (this.receivedBytes > announced.totalBytes)
      throw this.malformed('received more bytes than the snapshot announced');
    if (this.receivedBytes < announced.totalBytes) return undefined;
    this.announced = undefined;
    const text = Buffer.concat(this.chunks).toString('utf8');
    this.chunks = [];
    return { state: this.parse(text, announced.revision), stateHash: announced.stateHash };
  }

  private parse(text: string, revision: number): ConfigurationState {
    let state: Partial<ConfigurationState> | null;
    try {
      state = JSON.parse(text) as Partial<ConfigurationState> | null;
    } catch (error) {
      throw this.malformed('the snapshot is not JSON', error);
    }
    if (state?.revision !== revision || !state.regions || !state.services || !state.overrides) {
      throw this.malformed('the snapshot is not a configuration of the announced revision');
    }
    return state as ConfigurationState;
  }

  private malformed(message: string, cause?: unknown): MalformedMessageError {
    return new MalformedMessageError('read snapshot', this.peer, message, cause);
  }
}
