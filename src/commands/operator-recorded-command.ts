/** What all commands share that are recorded with who, why and a change id. */
import { randomUUID } from 'node:crypto';
import { Option } from 'clipanion';
import { OperatorCommand } from './operator-command.js';

/** The fields that every recorded request has. */
export interface RecordFields {
  readonly changeId: string;
  readonly author: string;
  readonly reason: string;
}

/** Base of the commands that change something. */
export abstract class OperatorRecordedCommand extends OperatorCommand {
  reason = Option.String('--reason,-m', { description: 'Why; kept in the history' });
  author = Option.String('--author', {
    env: 'DRIFTWAY_AUTHOR',
    description: 'Who (DRIFTWAY_AUTHOR); the user of this machine when absent',
  });
  changeId = Option.String('--change-id', {
    description: 'Resends an earlier change whose answer was lost; made up when absent',
  });

  protected recordFields(): RecordFields {
    const { env } = this.context;
    return {
      changeId: this.changeId ?? randomUUID(),
      author: this.author ?? env['USER'] ?? env['LOGNAME'] ?? 'unknown',
      reason: this.reason ?? 'no reason given',
    };
  }
}
