/** An operator who changes one setting again and again, and notes what came of each change. */
import type { ChangeResult, ServiceList } from '../../src/administration/response-schemas.js';
import type { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorError } from '../../src/operator/operator-error.js';
import type { ChangeRequest } from '../../src/settings/change.js';
import { formatScope } from '../../src/settings/scope.js';
import type { WrittenChange } from './recovery-evidence.js';

/** The setting the changes are about. */
export const WRITTEN_KEY = 'queueLimit';

/** Makes one change at a time. Several may race each other. */
export class ChangeWriter {
  private count = 0;

  constructor(
    private readonly client: OperatorClient,
    private readonly name: string,
    private readonly service: string,
  ) {}

  /** Makes a change against the revision it has just read. @throws OperatorError when it cannot read. */
  async write(value: number): Promise<WrittenChange> {
    this.count += 1;
    const changeId = `${this.name}-change-${this.count}`;
    const { revision } = await this.client.get<ServiceList>('/v1/services');
    const request: ChangeRequest = {
      changeId,
      baseRevision: revision,
      author: this.name,
      reason: 'recovery run',
      operations: [
        {
          type: 'set',
          scope: formatScope({ level: 'service', service: this.service }),
          key: WRITTEN_KEY,
          value,
        },
      ],
    };
    return { changeId, value, ...(await this.send(request)) };
  }

  private async send(request: ChangeRequest): Promise<Pick<WrittenChange, 'outcome' | 'revision'>> {
    try {
      const { revision } = await this.client.post<ChangeResult>('/v1/changes', request);
      return { outcome: 'accepted', revision };
    } catch (error) {
      if (!(error instanceof OperatorError)) throw error;
      return { outcome: error.error.changed === 'no' ? 'refused' : 'unknown' };
    }
  }
}
