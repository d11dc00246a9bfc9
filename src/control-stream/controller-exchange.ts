/**
 * Exchanges daemon records and liveness reports between controllers. Each
 * controller keeps one connection to every other and sends its updates over
 * it. It forwards every liveness report that is new to it, and forwards a daemon
 * record to the controllers that are not connected to the record's own
 * controller, so that two controllers that are partitioned from each other
 * still learn of it through a third.
 */
import { Counter } from 'prom-client';
import { Notifier } from '../consensus/notifier.js';
import type { ReplicatedLogMember } from '../consensus/replicated-log.js';
import type { Telemetry } from '../observability/telemetry.js';
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import type { LocalIdentity, RemoteIdentity } from '../protocol/handshake.js';
import { isProtocolViolation } from '../protocol/protocol-violation.js';
import type { Environment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import type { ControlStreamFaults } from './control-stream-faults.js';
import type { DaemonDirectory } from './daemon-directory.js';
import { EXCHANGE_CODEC, toDaemonRecord, type ExchangeMessage } from './exchange-messages.js';
import { ExchangeLink } from './exchange-link.js';
import { ConnectedControllers } from './connected-controllers.js';
import { SilenceGuard } from './silence-guard.js';
import type { LivenessReportTable } from './liveness-report-table.js';
import { fromLivenessReportMessage } from './liveness-report-message.js';

/** How often the connections are adjusted to the list of members. Milliseconds. */
const MEMBERS_INTERVAL_MS = 1_000;

/** Either end closes a connection on which nothing arrived for this long. Milliseconds. */
export const EXCHANGE_SILENCE_MS = 10_000;

const KEEP_ALIVE_FRAME = EXCHANGE_CODEC.encode({ kind: 'keepAlive' });

/** Dependencies and options of a {@link ControllerExchange}. */
export interface ControllerExchangeParts {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly readMembers: () => readonly ReplicatedLogMember[];
  readonly daemons: DaemonDirectory;
  readonly livenessReports: LivenessReportTable;
  /** Called after liveness reports from another controller were recorded that were new here. */
  readonly onLivenessReports: () => void;
  readonly faults?: ControlStreamFaults;
}

/** One controller's exchange with all other members of the replicated log. */
export class ControllerExchange {
  private readonly updates: Notifier;
  private readonly connectedControllers = new ConnectedControllers();
  private readonly links = new Map<string, ExchangeLink>();
  private readonly stopped = new AbortController();
  private readonly finished: Promise<void>;
  private readonly malformedFrames: Counter;

  constructor(
    private readonly parts: ControllerExchangeParts,
    telemetry: Telemetry,
  ) {
    this.updates = new Notifier(parts.environment.clock);
    this.malformedFrames = new Counter({
      name: 'driftway_exchange_malformed_frames_total',
      help: 'Frames from other controllers that violate the protocol.',
      registers: [telemetry.registry],
    });
    this.finished = this.followMembers();
  }

  /** Must be called after a daemon record or liveness report was recorded; wakes the senders. */
  notify(): void {
    this.updates.notify();
  }

  /** Receives from one other controller until the connection ends; never rejects. */
  async serve(connection: MessageConnection, peer: RemoteIdentity): Promise<void> {
    const guard = new SilenceGuard(this.parts.environment.clock, connection, EXCHANGE_SILENCE_MS);
    void guard.run();
    this.connectedControllers.recordOpened(peer.name);
    let previousAnswer: Uint8Array | undefined;
    try {
      for (;;) {
        const frame = await connection.receive();
        if (frame === undefined) break;
        guard.recordReceived();
        this.handleMessages(EXCHANGE_CODEC.decodeBatch(frame, peer.name), peer.name);
        // The answer confirms that frames arrive, and tells the sender which
        // records it need not send.
        const answer = this.connectedControllers.answerFrame();
        await connection.send(answer === previousAnswer ? KEEP_ALIVE_FRAME : answer);
        previousAnswer = answer;
      }
    } catch (error) {
      if (isProtocolViolation(error)) this.malformedFrames.inc();
    }
    this.connectedControllers.recordClosed(peer.name);
    connection.close();
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    await this.finished;
    await Promise.all([...this.links.values()].map((link) => link.stop()));
  }

  private async followMembers(): Promise<void> {
    const { environment, identity, readMembers } = this.parts;
    while (!this.stopped.signal.aborted) {
      const others = readMembers().filter(({ memberId }) => memberId !== identity.name);
      await this.adjustLinks(others);
      await environment.clock
        .sleep(MEMBERS_INTERVAL_MS, this.stopped.signal)
        .catch(() => undefined);
    }
  }

  private async adjustLinks(members: readonly ReplicatedLogMember[]): Promise<void> {
    const wanted = new Set(members.map(({ memberId, address }) => `${memberId} ${address}`));
    for (const [key, link] of this.links) {
      if (wanted.has(key)) continue;
      this.links.delete(key);
      await link.stop();
    }
    for (const member of members) {
      const key = `${member.memberId} ${member.address}`;
      if (this.links.has(key)) continue;
      this.links.set(
        key,
        new ExchangeLink(this.parts, member.memberId, member.address, this.updates),
      );
    }
  }

  private handleMessages(messages: readonly ExchangeMessage[], peer: string): void {
    let hasNewLivenessReport = false;
    let hasNewDaemonRecord = false;
    for (const message of messages) {
      if (message.kind === 'daemon') {
        hasNewDaemonRecord =
          this.parts.daemons.record(toDaemonRecord(message), message.silentMs) ||
          hasNewDaemonRecord;
      }
      if (message.kind === 'scopedSign') {
        const { scope, ...rest } = message;
        const report = fromLivenessReportMessage({ ...rest, kind: 'sign' });
        if (report === undefined) {
          throw new MalformedMessageError(
            'read exchange',
            peer,
            'expected a valid liveness report',
          );
        }
        hasNewLivenessReport =
          this.parts.livenessReports.record({ scope, report }) || hasNewLivenessReport;
      }
    }
    if (hasNewLivenessReport) this.parts.onLivenessReports();
    if (hasNewLivenessReport || hasNewDaemonRecord) this.notify();
  }
}
