/** Checks whether a controller stays healthy for a period, without following it. */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import type { SessionContext } from './session-context.js';
import { SourceLink } from './source-link.js';
import type { StreamMessage } from './stream-messages.js';
import { RETURN_AFTER_MS } from './stream-timing.js';

/** Runs one probe; cannot be reused. */
export class SourceProbe {
  private readonly link: SourceLink;
  private healthy = false;

  constructor(
    private readonly context: SessionContext,
    endpoint: ControllerEndpoint,
  ) {
    this.link = new SourceLink(context, endpoint, Number.NEGATIVE_INFINITY);
  }

  /**
   * Resolves with whether the controller was connected, up to date and in
   * contact with a quorum for all of `RETURN_AFTER_MS`.
   */
  async run(): Promise<boolean> {
    const { incarnation, zone, version, daemonState } = this.context;
    void this.awaitHealthyPeriod();
    await this.link.run(
      {
        kind: 'subscribe',
        incarnation,
        zone,
        version,
        heldRevision: daemonState.held.revision,
        probe: true,
      },
      (message) => this.handle(message),
    );
    return this.healthy;
  }

  cancel(): void {
    this.link.end('closed');
  }

  private handle(message: StreamMessage): void {
    const { environment, daemonState } = this.context;
    const now = environment.clock.now();
    if (message.kind === 'welcome') this.link.watch.recordWelcome(message.sourceTime, false, now);
    if (message.kind === 'goodbye') this.link.end('stopping');
    if (message.kind !== 'heartbeat') return;
    this.link.watch.recordHeartbeat(message, now);
    this.link.watch.compareRevisions(daemonState.held.revision, message.committedRevision, now);
  }

  private async awaitHealthyPeriod(): Promise<void> {
    const lasted = await this.link.pause(RETURN_AFTER_MS);
    this.healthy = lasted && this.link.watch.isWelcomed;
    this.link.end('closed');
  }
}
