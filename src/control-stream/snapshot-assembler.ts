/** Puts the chunks of a configuration together, within a bound. */
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import type { SnapshotBeginMessage, SnapshotChunkMessage } from './stream-messages.js';

/** Largest configuration a daemon takes. Bytes of JSON. */
export const MAXIMUM_CONFIGURATION_BYTES = 64 * 1024 * 1024;

/** A configuration received in full. */
export interface AssembledSnapshot {
  readonly state: ConfigurationState;
  readonly stateHash: string;
}

/** Collects one snapshot at a time. */
export class SnapshotAssembler {
  private announced: SnapshotBeginMessage | undefined;
  private chunks: Uint8Array[] = [];
  private receivedBytes = 0;

  constructor(private readonly peer: string) {}

  /** @throws MalformedMessageError when the announced size is out of bounds. */
  begin(message: SnapshotBeginMessage): void {
    const { totalBytes } = message;
    if (totalBytes < 1 || totalBytes > MAXIMUM_CONFIGURATION_BYTES) {
      throw this.malformed(`a configuration of ${totalBytes} bytes`);
    }
    this.announced = message;
    this.chunks = [];
    this.receivedBytes = 0;
  }

  /**
   * Adds a chunk; the configuration once it is whole.
   *
   * @throws MalformedMessageError when the chunk was not announced or is no JSON.
   */
  add(message: SnapshotChunkMessage): AssembledSnapshot | undefined {
    const { announced } = this;
    if (announced === undefined) throw this.malformed('a chunk without an announcement');
    this.chunks.push(message.bytes);
    this.receivedBytes += message.bytes.length;
    if (this.receivedBytes > announced.totalBytes) throw this.malformed('too many bytes');
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
      throw this.malformed('not JSON', error);
    }
    if (state?.revision !== revision || !state.regions || !state.services || !state.overrides) {
      throw this.malformed('not a configuration of the announced revision');
    }
    return state as ConfigurationState;
  }

  private malformed(message: string, cause?: unknown): MalformedMessageError {
    return new MalformedMessageError('read snapshot', this.peer, message, cause);
  }
}
