/** Looks whether a controller is healthy for a while, without following it. */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import type { SessionContext } from './session-context.js';
import { SourceLink } from './source-link.js';
import type { StreamMessage } from './stream-messages.js';
import { RETURN_AFTER_MS } from './stream-timing.js';

/** Used once. */
export class SourceProbe {
  private readonly link: SourceLink;
  private healthy = false;

  constructor(
    private readonly context: SessionContext,
    endpoint: ControllerEndpoint,
  ) {
    this.link = new SourceLink(context, endpoint, Number.NEGATIVE_INFINITY);
  }

  /** Whether the controller was reached, in time and with a quorum for all of `RETURN_AFTER_MS`. */
  async run(): Promise<boolean> {
    const { incarnation, zone, version, copy } = this.context;
    void this.succeedLater();
    await this.link.run(
      {
        kind: 'subscribe',
        incarnation,
        zone,
        version,
        heldRevision: copy.held.revision,
        probe: true,
      },
      (message) => this.take(message),
    );
    return this.healthy;
  }

  abandon(): void {
    this.link.end('closed');
  }

  private take(message: StreamMessage): void {
    const { environment, copy } = this.context;
    const now = environment.clock.now();
    if (message.kind === 'welcome') this.link.watch.welcomed(message.sourceTime, false, now);
    if (message.kind === 'goodbye') this.link.end('stopping');
    if (message.kind !== 'heartbeat') return;
    this.link.watch.heartbeat(message, now);
    this.link.watch.compare(copy.held.revision, message.committedRevision, now);
  }

  private async succeedLater(): Promise<void> {
    const lasted = await this.link.pause(RETURN_AFTER_MS);
    this.healthy = lasted && this.link.watch.isWelcomed;
    this.link.end('closed');
  }
}
