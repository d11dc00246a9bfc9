/** `driftway changes show`: what became of a change. */
import { Command, Option } from 'clipanion';
import type { ChangeReport } from '../administration/response-schemas.js';
import { formatReport } from '../operator/format-change.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorCommand } from './operator-command.js';

export class ChangesShowCommand extends OperatorCommand {
  static override paths = [['changes', 'show']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Show what became of a change and at how many daemons it is in force',
    details: `
      Use it after an answer was lost: the change id was printed before the change was sent.
      Daemons that have not put it in force yet are named.
    `,
    examples: [['By its id', 'driftway changes show 5b1c7c1e-7a55-4f3c-a8b5-0c4b6a1f2d3e']],
  });

  id = Option.String({ name: 'ID' });

  protected override run(client: OperatorClient): Promise<ChangeReport> {
    return client.get<ChangeReport>(`/v1/changes/${encodeURIComponent(this.id)}`);
  }

  protected override format(answer: unknown): string {
    return formatReport(answer as ChangeReport);
  }
}
