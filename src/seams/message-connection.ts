/**
 * Framed, ordered, two-way message streams over one TCP connection. A frame is
 * a four-byte big-endian length and that many bytes.
 */
import type { Address } from './address.js';

/** Longest frame either side sends. Bytes. */
export const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

/** Step of the `ConnectionError` of a connection whose peer announced too long a frame. */
export const READ_FRAME_STEP = 'read frame';

/** One connection. Frames arrive in order or not at all. */
export interface MessageConnection {
  /** `host:port` of the other end, for errors and logs. */
  readonly peer: string;

  /**
   * Longest frame that is received; a longer announced length closes the connection.
   * {@link MAXIMUM_FRAME_BYTES} at first. Bytes.
   */
  maximumFrameBytes: number;

  /**
   * Sends one frame; resolves once it has been handed to the operating system
   * and there is room for more, which is the sender's flow control.
   *
   * @throws ConnectionError when the connection is closed.
   */
  send(frame: Uint8Array): Promise<void>;

  /** Bytes handed to {@link MessageConnection.send} that have not left yet. */
  readonly queuedBytes: number;

  /**
   * The next frame, or undefined once the peer closed the connection. One
   * reader at a time.
   *
   * @throws ConnectionError when the connection broke; its step is
   * {@link READ_FRAME_STEP} when the peer announced too long a frame.
   */
  receive(): Promise<Uint8Array | undefined>;

  /** Closes both directions at once. Safe to call twice. */
  close(): void;

  /** Resolves once the connection is closed, for whichever reason. */
  readonly closed: Promise<void>;
}

/** A running listener of framed connections. */
export interface MessageListener {
  readonly address: Address;
  /** Stops accepting and closes every accepted connection. */
  close(): Promise<void>;
}
