/** The subscriber's end of the directory stream to one controller; reconnects until stopped. */
import { SilenceGuard } from '../control-stream/silence-guard.js';
import { dial } from '../protocol/dial.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { parseAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import {
  DIRECTORY_CODEC,
  type ControllerMessage,
  type DirectoryMessage,
  type LeafMessage,
  type StatusMessage,
  type SubscriberKind,
} from './directory-messages.js';
import type { LeafGateway } from './leaf-gateway.js';
import {
  DIAL_TIMEOUT_MS,
  FIRST_DIAL_TIMEOUT_MS,
  FIRST_REDIAL_MS,
  REDIAL_INTERVAL_MS,
  STREAM_SILENCE_MS,
} from './directory-timing.js';

/** What a controller tells besides its own state. */
export type LinkNews = Exclude<DirectoryMessage, StatusMessage | ControllerMessage | LeafMessage>;

/** What all links of a process share. */
export interface DirectoryLinkParts {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly subscriberKind: SubscriberKind;
  readonly zone: string;
  /** See `SubscribeMessage.gatherAddress`. */
  readonly gatherAddress: string;
  readonly take: (message: LinkNews) => void;
  /** A controller named gateways that take gathers, or some that do not any more. */
  readonly onLeaves: () => void;
  /** A controller named the members of its group. */
  readonly onControllers: (link: DirectoryLink) => void;
  /** Version of the route document in force here. */
  readonly documentVersion: () => number;
  /** The link was opened or lost. */
  readonly onState: (link: DirectoryLink, isOpen: boolean) => void;
}

/** What the controller last said of itself. */
export interface LinkStatus extends StatusMessage {
  readonly receivedAt: number;
}

/** `first`, doubled with each failure in a row, at most `longest`. */
function afterFailures(first: number, longest: number, failures: number): number {
  return Math.min(first * 2 ** failures, longest);
}

/** See the module comment. */
export class DirectoryLink {
  /** The controller's last word on this connection; undefined while there is none. */
  status: LinkStatus | undefined;
  /** Addresses of the group's members, as the controller last named them. */
  controllers: readonly string[] = [];
  /** Gateways that take gathers, by name, as the controller last named them on this connection. */
  readonly leaves = new Map<string, LeafGateway>();
  private readonly stopped = new AbortController();
  private connection: MessageConnection | undefined;
  /** Dials in a row that opened no stream. */
  private failures = 0;
  private readonly finished: Promise<void>;

  constructor(
    private readonly parts: DirectoryLinkParts,
    /** `host:port` of the controller. */
    readonly address: string,
  ) {
    this.finished = this.run();
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    this.connection?.close();
    await this.finished;
  }

  private async run(): Promise<void> {
    const { clock, random } = this.parts.environment;
    while (!this.stopped.signal.aborted) {
      await this.connectAndFollow();
      const interval = afterFailures(FIRST_REDIAL_MS, REDIAL_INTERVAL_MS, this.failures);
      this.failures += 1;
      const pause = interval * (0.5 + random.nextFloat() / 2);
      await clock.sleep(pause, this.stopped.signal).catch(() => undefined);
    }
  }

  private async connectAndFollow(): Promise<void> {
    const { environment, identity, onState } = this.parts;
    let wasOpen = false;
    try {
      const address = parseAddress(this.address);
      const connectTimeout = afterFailures(FIRST_DIAL_TIMEOUT_MS, DIAL_TIMEOUT_MS, this.failures);
      const target = { address, role: 'directory', connectTimeout } as const;
      const connection = await dial(environment, identity, target);
      this.connection = connection;
      if (this.stopped.signal.aborted) return;
      this.leaves.clear();
      await connection.send(this.subscription());
      wasOpen = true;
      this.failures = 0;
      onState(this, true);
      await this.follow(connection);
    } catch {
      // Lost, or not a controller: dialled again after a pause.
    } finally {
      this.connection?.close();
      this.connection = undefined;
      this.status = undefined;
      if (wasOpen) onState(this, false);
    }
  }

  private subscription(): Uint8Array {
    const { subscriberKind, zone, gatherAddress } = this.parts;
    return DIRECTORY_CODEC.encode({ kind: 'subscribe', subscriberKind, zone, gatherAddress });
  }

  private takeLeaf({ name, zone, address, isGone }: LeafMessage): void {
    if (isGone) this.leaves.delete(name);
    else this.leaves.set(name, { name, zone, address });
  }

  private async follow(connection: MessageConnection): Promise<void> {
    const { clock } = this.parts.environment;
    const guard = new SilenceGuard(clock, connection, STREAM_SILENCE_MS);
    void guard.run();
    for (;;) {
      const frame = await connection.receive();
      if (frame === undefined) return;
      guard.heard();
      const position = this.takeFrame(frame);
      const documentVersion = this.parts.documentVersion();
      await connection.send(DIRECTORY_CODEC.encode({ kind: 'confirm', position, documentVersion }));
    }
  }

  /** Takes a whole frame in and gives the position that it reached. */
  private takeFrame(frame: Uint8Array): number {
    let position = 0;
    const controllers: string[] = [];
    let hasLeaves = false;
    for (const message of DIRECTORY_CODEC.decodeBatch(frame, this.address)) {
      if (message.kind === 'status') {
        position = message.position;
        this.status = { ...message, receivedAt: this.parts.environment.clock.now() };
      } else if (message.kind === 'controller') {
        controllers.push(message.address);
      } else if (message.kind === 'leaf') {
        this.takeLeaf(message);
        hasLeaves = true;
      } else {
        this.parts.take(message);
      }
    }
    if (hasLeaves) this.parts.onLeaves();
    if (controllers.length > 0) {
      this.controllers = controllers;
      this.parts.onControllers(this);
    }
    return position;
  }
}
