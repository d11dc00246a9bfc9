/** What all commands share that change the configuration. */
import { Option } from 'clipanion';
import type {
  ChangeReport,
  ChangeResult,
  ServiceList,
} from '../administration/response-schemas.js';
import { formatForce, formatResult } from '../operator/format-change.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorError, OperatorExitCode, usageError } from '../operator/operator-error.js';
import type { ChangeRequest, Operation } from '../settings/change.js';
import { OperatorRecordedCommand } from './operator-recorded-command.js';

/** How often `--wait` asks whether the change is in force. Milliseconds. */
const WAIT_INTERVAL_MS = 200;
const MILLISECONDS_PER_SECOND = 1_000;

/** What a command wants changed; absent fields come from flags. */
export interface PlannedChange {
  readonly operations: readonly Operation[];
  readonly baseRevision?: number;
  readonly author?: string;
  readonly reason?: string;
}

/** Base of the commands that send a change. */
export abstract class OperatorChangeCommand extends OperatorRecordedCommand {
  base = Option.String('--base', {
    description: 'Revision the change was made against; the current one when absent',
  });
  dryRun = Option.Boolean('--dry-run', false, {
    description: 'Check everything and show what would differ; change nothing',
  });
  wait = Option.String('--wait', {
    description: 'Wait until every daemon has it in force; exit with 1 after this many seconds',
  });

  protected abstract plan(): Promise<PlannedChange>;

  protected override async run(client: OperatorClient): Promise<unknown> {
    const seconds = this.wait === undefined ? undefined : this.numberOf('--wait', this.wait);
    const request = await this.toRequest(client, await this.plan());
    if (this.dryRun) return this.tryOut(client, request);
    this.announce(request);
    const result = await client.post<ChangeResult>('/v1/changes', request);
    if (seconds === undefined) return result;
    return { ...result, force: await this.learnForce(client, request.changeId, seconds) };
  }

  protected override format(answer: unknown): string {
    const result = answer as ChangeResult & { force?: ChangeReport['force'] };
    const force = result.force === undefined ? '' : formatForce(result.force);
    return formatResult(result) + force;
  }

  private tryOut(client: OperatorClient, body: ChangeRequest): Promise<ChangeResult> {
    const target = '/v1/changes?dryRun=true';
    return client.send({ method: 'POST', target, body, resendable: true, changesNothing: true });
  }

  /** Printed before sending, so that the id is known should this process end before the answer. */
  private announce({ changeId, baseRevision }: ChangeRequest): void {
    this.context.stderr.write(
      `sending change ${changeId} against revision ${baseRevision}; should the answer be lost, ` +
        `repeat the command with --change-id ${changeId} --base ${baseRevision}\n`,
    );
  }

  /** The change is accepted by now, so a failure here must not read as if it were not. */
  private async learnForce(
    client: OperatorClient,
    changeId: string,
    seconds: number,
  ): Promise<ChangeReport['force']> {
    try {
      return await this.waitUntilInForce(client, changeId, seconds);
    } catch (error) {
      if (!(error instanceof OperatorError)) throw error;
      this.exitCode = OperatorExitCode.Failure;
      this.context.stderr.write(
        `change ${changeId} is accepted, but where it is in force could not be learned: ` +
          `${error.error.message}; ask again with driftway changes show ${changeId}\n`,
      );
      return undefined;
    }
  }

  private async toRequest(client: OperatorClient, planned: PlannedChange): Promise<ChangeRequest> {
    const { changeId, author, reason } = this.recordFields();
    return {
      changeId,
      baseRevision: await this.baseRevision(client, planned),
      author: this.author ?? planned.author ?? author,
      reason: this.reason ?? planned.reason ?? reason,
      operations: [...planned.operations],
    };
  }

  private async baseRevision(client: OperatorClient, planned: PlannedChange): Promise<number> {
    if (this.base !== undefined) return this.numberOf('--base', this.base);
    if (planned.baseRevision !== undefined) return planned.baseRevision;
    if (this.changeId !== undefined) {
      throw usageError('--change-id resends a change and needs --base as it was then');
    }
    return (await client.get<ServiceList>('/v1/services')).revision;
  }

  private async waitUntilInForce(
    client: OperatorClient,
    changeId: string,
    seconds: number,
  ): Promise<ChangeReport['force']> {
    const { clock } = this.environment;
    const deadline = clock.now() + seconds * MILLISECONDS_PER_SECOND;
    for (;;) {
      const { force } = await client.get<ChangeReport>(`/v1/changes/${changeId}`);
      if (force === undefined || force.late.length === 0) return force;
      if (clock.now() >= deadline) {
        this.exitCode = OperatorExitCode.Failure;
        return force;
      }
      await clock.sleep(WAIT_INTERVAL_MS);
    }
  }
}
